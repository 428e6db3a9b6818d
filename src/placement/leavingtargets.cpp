#include <celeryroute/detail/placement/leavingtargets.h>

namespace celeryroute {

void LeavingTargets::add(const std::string &target)
{
    if (m_targets.contains(target)) {
        return;
    }
    m_targets.emplace(target, m_order.insert(m_order.end(), target));
    if (m_order.size() > MaxTargets) {
        m_targets.erase(m_order.front());
        m_order.pop_front();
    }
}

bool LeavingTargets::take(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return false;
    }
    m_order.erase(found->second);
    m_targets.erase(found);
    return true;
}

} // namespace celeryroute
