#include <celeryroute/detail/budget/shareterm.h>

#include <algorithm>

namespace celeryroute {

bool ShareTerm::adopt(const ShareGrant &grant, TimePoint now)
{
    if (grant.epoch <= m_grant.epoch) {
        return false;
    }
    m_grant = grant;
    m_handoverEnd = now + ShareHandover;
    return true;
}

void ShareTerm::confirm(TimePoint at)
{
    m_confirmed = std::max(m_confirmed, at);
}

bool ShareTerm::valid(TimePoint now) const
{
    return m_grant.epoch > 0 && now <= validUntil();
}

TimePoint ShareTerm::validUntil() const
{
    return m_confirmed == TimePoint::min() ? TimePoint::min() : m_confirmed + ShareValidity;
}

bool ShareTerm::handedOver(TimePoint now) const
{
    return m_grant.epoch > 0 && now >= m_handoverEnd;
}

} // namespace celeryroute
