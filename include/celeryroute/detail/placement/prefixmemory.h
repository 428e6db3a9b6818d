#pragma once

#include <celeryroute/detail/placement/enginecall.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Digests of the leading parts of a prompt, each over all parts before it.
struct PrefixChain {
    struct Link {
        std::uint64_t digest = 0;
        std::uint64_t tokens = 0; ///< Of this part and all before it.
        bool operator==(const Link &) const = default;
    };

    std::vector<Link> links;
    std::uint64_t home = 0; ///< Digest that calls with the same shared parts have in common.
    std::uint64_t sharedTokens = 0;
    bool operator==(const PrefixChain &) const = default;
};

/// @brief The chain of @p call.
PrefixChain prefixChain(const EngineCall &call);

/// Guess at which prompts each target keeps, from what this entry sent there; bounded.
class PrefixMemory
{
public:
    /// @brief Where a prefix was sent to lately.
    struct Place {
        std::uint32_t lifetime = 0; ///< Of the target; 0: empty.
        std::uint64_t clock = 0; ///< Tokens that the target had read then.
        bool operator==(const Place &) const = default;
    };
    static constexpr std::size_t PlacesPerPrefix = 4;
    using Places = std::array<Place, PlacesPerPrefix>;

    explicit PrefixMemory(std::size_t capacity);

    /// @brief A call with @p chain went to the target, which had read @p clock tokens before.
    void note(const PrefixChain &chain, std::uint32_t lifetime, std::uint64_t clock);
    /// @brief Where the prefix of @p digest was sent to, or null.
    const Places *places(std::uint64_t digest) const;
    std::size_t size() const;

private:
    struct Entry {
        Places places;
        std::list<std::uint64_t>::iterator use;
    };

    void put(Places &places, Place place);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_uses; ///< Newest first.
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace celeryroute
