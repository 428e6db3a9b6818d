#include <celeryroute/detail/residency/isolationrule.h>

namespace celeryroute {

IsolationRule::IsolationRule(TimePoint now)
    : m_lastHeard(now)
    , m_lastStep(now)
    , m_revalidatedAt(now)
{}

void IsolationRule::heard(TimePoint now)
{
    // What is read right after a pause may have waited in a buffer since before it.
    if (now >= m_revalidatedAt && now - m_lastStep <= PauseLimit) {
        m_lastHeard = now;
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
