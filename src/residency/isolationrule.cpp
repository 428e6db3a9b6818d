#include <celeryroute/detail/residency/isolationrule.h>

#include <algorithm>

namespace celeryroute {

IsolationRule::IsolationRule(TimePoint now)
    : m_lastHeard(now)
    , m_lastStep(now)
    , m_revalidatedAt(now)
{}

// A peer that is cut off itself proves nothing: an entry and an agent cut off together would keep
// each other at work while the log gives their grants to others.
void IsolationRule::heard(TimePoint confirmedAt, TimePoint now)
{
    // What is read right after a pause may have waited in a buffer since before it.
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
