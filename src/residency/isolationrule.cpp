#include <celeryroute/detail/residency/isolationrule.h>

#include <algorithm>

namespace celeryroute {

IsolationRule::IsolationRule(TimePoint now)
    : m_lastHeard(now)
    , m_lastStep(now)
    , m_revalidatedAt(now)
{}

// Contact with a peer counts only up to the time at which the peer's own state was confirmed. Otherwise an
// entry and an agent that are isolated together would keep each other active while the log grants their
// items to other hosts.
void IsolationRule::heard(TimePoint confirmedAt, TimePoint now)
{
    // Data read right after a pause may have been buffered since before the pause.
    if (now >= m_revalidatedAt && now - m_lastStep <= PauseLimit) {
        m_lastHeard = std::max(m_lastHeard, std::min(confirmedAt, now));
    }
}

AuthorityTrust IsolationRule::step(TimePoint now)
{
    if (now - m_lastStep > PauseLimit) {
        m_revalidatedAt = now + RevalidationTime;
    }
    m_lastStep = now;
    if (now < m_revalidatedAt) {
        return AuthorityTrust::NoLoads;
    }
    if (now - m_lastHeard >= UnloadAfter + RevalidationTime) {
        return AuthorityTrust::None;
    }
    return now - m_lastHeard >= NoLoadsAfter ? AuthorityTrust::NoLoads : AuthorityTrust::Full;
}

} // namespace celeryroute
