#include <celeryroute/detail/state/freshnesstracker.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {
// TimePoint::min() means "never" and TimePoint::max() means "without limit". Both are returned unchanged, since
// adding a bound would overflow max() and turn min() into an ordinary time.
TimePoint later(TimePoint time, Duration bound)
{
    const bool extreme = time == TimePoint::min() || time == TimePoint::max();
    return extreme ? time : time + bound;
}
} // namespace

FreshnessTracker::FreshnessTracker(FreshnessLimits bounds)
    : m_limits(bounds)
{}

void FreshnessTracker::recordLogRead(TimePoint readStartedAt)
{
    m_lastLogReadAt = std::max(m_lastLogReadAt, readStartedAt);
}

void FreshnessTracker::recordHeartbeat(const std::string &domain, TimePoint sentAt)
{
    TimePoint &heard = m_lastHeartbeats.emplace(domain, sentAt).first->second;
    heard = std::max(heard, sentAt);
}

void FreshnessTracker::setLiveDomains(std::set<std::string> domains)
{
    m_liveDomains = std::move(domains);
}

void FreshnessTracker::setOffsets(std::uint64_t own, std::uint64_t farthest, TimePoint now)
{
    if (own >= farthest) {
        m_lagSince = TimePoint::max();
    } else if (m_lagSince == TimePoint::max()) {
        m_lagSince = now;
    }
}

// If there is no other live host, there are no heartbeats that could confirm the state.
TimePoint FreshnessTracker::freshUntilByHeartbeats() const
{
    if (m_liveDomains.empty()) {
        return TimePoint::min();
    }
    TimePoint until = TimePoint::max();
    for (const std::string &domain : m_liveDomains) {
        const auto heard = m_lastHeartbeats.find(domain);
        const TimePoint last = heard == m_lastHeartbeats.end() ? TimePoint::min() : heard->second;
        until = std::min(until, later(last, m_limits.maxDomainSilence));
    }
    return until;
}

TimePoint FreshnessTracker::freshUntil() const
{
    const TimePoint byLog = later(m_lastLogReadAt, m_limits.maxLogSilence);
    const TimePoint byDomains = std::min(freshUntilByHeartbeats(), later(m_lagSince, m_limits.maxLag));
    return std::max(byLog, byDomains);
}

} // namespace celeryroute
