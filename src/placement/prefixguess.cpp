#include <celeryroute/detail/placement/prefixguess.h>

#include <celeryroute/detail/placement/knowntarget.h>

namespace celeryroute {

namespace {

constexpr double KeptShare = 0.7; // Share of the capacity that holds prefixes; running calls use the rest.

} // namespace

PrefixGuess::PrefixGuess(const PrefixMemory &memory, const PrefixChain &chain)
{
    for (auto link = chain.links.rbegin(); link != chain.links.rend(); ++link) {
        if (const PrefixMemory::Places *places = memory.places(link->digest)) {
            m_known.push_back({places, link->tokens});
        }
    }
}

// Engines evict the least recently used prefixes, so a prefix is gone once the target has prefilled that many new
// tokens.
std::uint64_t PrefixGuess::keptTokens(const KnownTarget &target, std::uint64_t capacity, std::uint32_t entries) const
{
    for (const Known &known : m_known) {
        for (const PrefixMemory::Place &place : *known.places) {
            if (place.lifetime != target.lifetime) {
                continue;
            }
            const auto readSince = static_cast<double>(target.clock - place.clock) * entries;
            if (capacity == 0 || readSince < KeptShare * static_cast<double>(capacity)) {
                return known.tokens;
            }
        }
    }
    return 0;
}

} // namespace celeryroute
