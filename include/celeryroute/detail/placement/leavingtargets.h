#pragma once

#include <deque>
#include <string>
#include <unordered_set>

namespace celeryroute {

/// Targets that said in an answer that they are leaving, by id. Bounded; the oldest ones are forgotten.
class LeavingTargets
{
public:
    /// @return whether @p target was not known
    bool add(const std::string &target);
    bool contains(const std::string &target) const;

private:
    std::unordered_set<std::string> m_targets;
    std::deque<std::string> m_order; ///< In the order in which they were added.
};

} // namespace celeryroute
