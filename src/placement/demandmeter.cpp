#include <celeryroute/detail/placement/demandmeter.h>

#include <cmath>

namespace celeryroute {

namespace {

constexpr double Memory = 30; // Seconds.

double faded(double value, TimePoint at, TimePoint now)
{
    return value * std::exp(-toSeconds(now - at) / Memory);
}

} // namespace

void DemandMeter::note(const std::string &model, TimePoint now)
{
    Count &count = m_counts[model];
    count.value = (count.value > 0 ? faded(count.value, count.at, now) : 0) + 1;
    count.at = now;
}

double DemandMeter::rate(const std::string &model, TimePoint now) const
{
    const auto count = m_counts.find(model);
    return count == m_counts.end() ? 0 : faded(count->second.value, count->second.at, now) / Memory;
}

} // namespace celeryroute
