#pragma once

#include <celeryroute/detail/placement/prefixmemory.h>

#include <cstdint>
#include <vector>

namespace celeryroute {

struct KnownTarget;

/// Which targets this entry sent the prefixes of one prompt to, longest prefix first.
class PrefixGuess
{
public:
    PrefixGuess(const PrefixMemory &memory, const PrefixChain &chain);

    /// @brief Prompt tokens that @p target probably keeps; it can keep @p capacity, and its calls
    /// come evenly from @p entries entries.
    std::uint64_t keptTokens(const KnownTarget &target, std::uint64_t capacity, std::uint32_t entries) const;

private:
    struct Known {
        const PrefixMemory::Places *places = nullptr;
        std::uint64_t tokens = 0;
    };

    std::vector<Known> m_known;
};

} // namespace celeryroute
