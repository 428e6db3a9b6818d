#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Ids of targets that said in an answer that they are leaving, and whose records are gone. Bounded; those that went
/// first are forgotten.
class LeavingTargets
{
public:
    static constexpr std::size_t MaxTargets = 65'536;

    void add(const std::string &target);
    /// @brief Removes @p target, whose record is back.
    /// @return whether it was contained
    bool take(const std::string &target);

private:
    std::list<std::string> m_order; ///< In the order in which they were added.
    std::unordered_map<std::string, std::list<std::string>::iterator> m_targets;
};

} // namespace celeryroute
