#include <celeryroute/detail/placement/cachedprefixestimate.h>

#include <celeryroute/detail/placement/knowntarget.h>

namespace celeryroute {

namespace {

constexpr double CachedShare = 0.7; // Share of the capacity that holds prefixes; running calls use the rest.

} // namespace

CachedPrefixEstimate::CachedPrefixEstimate(const PrefixHistory &memory, const PrefixChain &chain)
{
    for (auto link = chain.links.rbegin(); link != chain.links.rend(); ++link) {
        if (const PrefixHistory::Placements *placements = memory.placements(link->digest)) {
            m_known.push_back({placements, link->tokens});
        }
    }
}

// Engines evict the least recently used prefixes, so a prefix is no longer cached once the target has prefilled as many
// new tokens as its cache holds for prefixes.
std::uint64_t
CachedPrefixEstimate::cachedPrefixTokens(const KnownTarget &target, std::uint64_t capacity, std::uint32_t entries) const
{
    for (const Known &known : m_known) {
        for (const PrefixHistory::Placement &placement : *known.placements) {
            if (placement.lifetime != target.lifetime) {
                continue;
            }
            const auto readSince = static_cast<double>(target.sentTokens - placement.sentTokens) * entries;
            if (capacity == 0 || readSince < CachedShare * static_cast<double>(capacity)) {
                return known.tokens;
            }
        }
    }
    return 0;
}

} // namespace celeryroute
