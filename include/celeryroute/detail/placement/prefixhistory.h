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
    std::uint64_t rendezvousKey =
        0; ///< Digest of the shared parts, equal for all calls that have them. Leads to the preferred targets.
    std::uint64_t sharedTokens = 0; ///< Tokens of all parts but the last.
    bool operator==(const PrefixChain &) const = default;
};

/// @brief Computes the chain of @p call.
PrefixChain prefixChain(const EngineCall &call);

/// Remembers which targets this entry sent each prefix to, for the most recently used prefixes.
class PrefixHistory
{
public:
    /// @brief A target that a prefix was sent to.
    struct Placement {
        std::uint32_t lifetime = 0; ///< Lifetime of the target; 0 for an unused place.
        std::uint64_t sentTokens = 0; ///< Uncached tokens that this entry had sent to the target by then.
        bool operator==(const Placement &) const = default;
    };
    static constexpr std::size_t PlacementsPerPrefix = 4;
    using Placements = std::array<Placement, PlacementsPerPrefix>;

    explicit PrefixHistory(std::size_t capacity);

    /// @brief Records that a call with @p chain was sent to the target, when its token count was @p sentTokens.
    void note(const PrefixChain &chain, std::uint32_t lifetime, std::uint64_t sentTokens);
    /// @brief The targets that the prefix was sent to, the latest first; null if unknown.
    const Placements *placements(std::uint64_t digest) const;
    std::size_t size() const;

private:
    struct Entry {
        Placements placements;
        std::list<std::uint64_t>::iterator use;
    };

    void put(Placements &placements, Placement placement);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_uses; ///< Digests, the most recently used first.
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace celeryroute
