#include <celeryroute/detail/budget/sharelease.h>

#include <algorithm>

namespace celeryroute {

bool ShareLease::applyDivision(const ShareGrant &grant, TimePoint now)
{
    if (grant.epoch <= m_grant.epoch) {
        return false;
    }
    m_grant = grant;
    m_handoverEnd = now + ShareHandover;
    return true;
}

void ShareLease::confirm(TimePoint at)
{
    m_confirmed = std::max(m_confirmed, at);
}

bool ShareLease::isValid(TimePoint now) const
{
    return m_grant.epoch > 0 && now <= validUntil();
}

TimePoint ShareLease::validUntil() const
{
    return m_confirmed == TimePoint::min() ? TimePoint::min() : m_confirmed + ShareValidity;
}

bool ShareLease::isHandoverComplete(TimePoint now) const
{
    return m_grant.epoch > 0 && now >= m_handoverEnd;
}

} // namespace celeryroute
