#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace celeryroute {

/// @brief The last claims that were taken, so that none runs twice at this incarnation.
class ClaimMemory
{
public:
    static constexpr std::size_t MaxClaims = 200'000;

    /// @brief False when @p claimId was taken before.
    bool take(const std::string &claimId);

private:
    std::unordered_set<std::string> m_taken;
    std::deque<std::string> m_order;
};

} // namespace celeryroute
