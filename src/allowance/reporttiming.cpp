#include <celeryroute/detail/allowance/reporttiming.h>

#include <algorithm>

namespace celeryroute {

namespace {

/// Largest number of entries that report at the basic intervals.
constexpr std::size_t EntriesAtBasicIntervals = 16;
/// A peer stays connected when this many reports less one are lost.
constexpr int MinReportsPerTimeout = 3;

} // namespace

ReportTiming ReportTiming::forEntries(std::size_t entries) const
{
    if (entries <= EntriesAtBasicIntervals) {
        return *this;
    }
    const auto grown = [entries](Duration interval) {
        return interval * static_cast<std::int64_t>(entries) / static_cast<std::int64_t>(EntriesAtBasicIntervals);
    };
    ReportTiming timing = *this;
    timing.heartbeatInterval = std::min(grown(heartbeatInterval), acknowledgementTimeout / MinReportsPerTimeout);
    timing.changeInterval = std::min(grown(changeInterval), timing.heartbeatInterval);
    timing.urgentInterval = std::min(grown(urgentInterval), timing.changeInterval);
    timing.wholeReportInterval = grown(wholeReportInterval);
    timing.acknowledgesLargeSpending = false;
    return timing;
}

} // namespace celeryroute
