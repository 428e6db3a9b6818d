#pragma once

#include <celeryroute/detail/placement/enginecall.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Digests of all prefixes of a prompt; a prefix ends with a part of the prompt.
struct PrefixChain {
    struct Link {
        std::uint64_t digest = 0;
        std::uint64_t tokens = 0; ///< Tokens of the prefix.
        bool operator==(const Link &) const = default;
    };

    std::vector<Link> links;
    std::uint64_t home =
        0; ///< Digest of the shared parts, equal for all calls that have them. Leads to the preferred targets.
    std::uint64_t sharedTokens = 0; ///< Tokens of all parts but the last.
    bool operator==(const PrefixChain &) const = default;
};

/// @brief Computes the chain of @p call.
PrefixChain prefixChain(const EngineCall &call);

/// Remembers which targets this entry sent each prefix to, for the most recently used prefixes.
class PrefixMemory
{
public:
    /// @brief A target that a prefix was sent to.
    struct Place {
        std::uint32_t lifetime = 0; ///< Lifetime of the target; 0 for an unused place.
        std::uint64_t clock = 0; ///< Uncached tokens that this entry had sent to the target by then.
        bool operator==(const Place &) const = default;
    };
    static constexpr std::size_t PlacesPerPrefix = 4;
    using Places = std::array<Place, PlacesPerPrefix>;

    explicit PrefixMemory(std::size_t capacity);

    /// @brief Records that a call with @p chain was sent to the target, when its token count was @p clock.
    void note(const PrefixChain &chain, std::uint32_t lifetime, std::uint64_t clock);
    /// @brief The targets that the prefix was sent to, the latest first; null if unknown.
    const Places *places(std::uint64_t digest) const;
    std::size_t size() const;

private:
    struct Entry {
        Places places;
        std::list<std::uint64_t>::iterator use;
    };

    void put(Places &places, Place place);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_uses; ///< Digests, the most recently used first.
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace celeryroute
