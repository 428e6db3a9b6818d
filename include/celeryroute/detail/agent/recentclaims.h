#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace celeryroute {

/// @brief Remembers the most recent claims, so that none is executed twice by this incarnation.
class RecentClaims
{
public:
    static constexpr std::size_t MaxClaims = 200'000;

    /// @brief Records @p claimId. Returns false if it was already recorded.
    bool take(const std::string &claimId);

private:
    std::unordered_set<std::string> m_taken;
    std::deque<std::string> m_order;
};

} // namespace celeryroute
