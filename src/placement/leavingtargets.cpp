#include <celeryroute/detail/placement/leavingtargets.h>

namespace celeryroute {

namespace {

constexpr std::size_t MaxTargets = 4096;

} // namespace

bool LeavingTargets::add(const std::string &target)
{
    if (!m_targets.insert(target).second) {
        return false;
    }
    m_order.push_back(target);
    if (m_order.size() > MaxTargets) {
        m_targets.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

bool LeavingTargets::contains(const std::string &target) const
{
    return m_targets.contains(target);
}

} // namespace celeryroute
