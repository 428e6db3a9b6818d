#include <celeryroute/detail/residency/isolationrule.h>

#include <algorithm>

namespace celeryroute {

IsolationRule::IsolationRule(TimePoint now)
    : m_lastContact(now)
    , m_lastStep(now)
    , m_revalidatedAt(now)
{}

// Contact with a peer counts only up to the time at which the peer's own state was confirmed. Otherwise an
// entry and an agent that are isolated together would keep each other active while the log grants their
// items to other hosts.
void IsolationRule::recordContact(TimePoint confirmedAt, TimePoint now)
{
    // Data read right after a pause may have been buffered since before the pause.
    if (now >= m_revalidatedAt && now - m_lastStep <= PauseLimit) {
        m_lastContact = std::max(m_lastContact, std::min(confirmedAt, now));
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
    if (now - m_lastContact >= UnloadAfter + RevalidationTime) {
        return AuthorityTrust::None;
    }
    return now - m_lastContact >= NoLoadsAfter ? AuthorityTrust::NoLoads : AuthorityTrust::Full;
}

} // namespace celeryroute
