#include <celeryroute/detail/agent/recentclaims.h>

namespace celeryroute {

bool RecentClaims::take(const std::string &claimId)
{
    if (!m_taken.insert(claimId).second) {
        return false;
    }
    m_order.push_back(claimId);
    if (m_order.size() > MaxClaims) {
        m_taken.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace celeryroute
