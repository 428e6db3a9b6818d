#pragma once

#include <celeryroute/detail/placement/prefixhistory.h>

#include <cstdint>
#include <vector>

namespace celeryroute {

struct KnownTarget;

/// Estimates how much of one prompt each target has in its KV cache, from where its prefixes were sent before.
class CachedPrefixEstimate
{
public:
    CachedPrefixEstimate(const PrefixHistory &memory, const PrefixChain &chain);

    /// @brief Prompt tokens that @p target probably has cached. Its cache holds @p capacity tokens (0: unlimited), and
    /// its calls are assumed to come evenly from @p entries entries.
    std::uint64_t cachedPrefixTokens(const KnownTarget &target, std::uint64_t capacity, std::uint32_t entries) const;

private:
    struct Known {
        const PrefixHistory::Placements *placements = nullptr;
        std::uint64_t tokens = 0;
    };

    std::vector<Known> m_known; ///< Longest prefix first.
};

} // namespace celeryroute
