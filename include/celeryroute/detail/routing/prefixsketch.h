#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace celeryroute {

/// A change of a target's prefix cache; events come late and with gaps.
struct PrefixEvent {
    std::uint64_t sequence = 0; ///< Ascending per target.
    std::uint64_t block = 0; ///< Digest of a prompt block and all blocks before it.
    bool stored = true; ///< False: evicted.
    bool operator==(const PrefixEvent &) const = default;
};

/// Guess at which prompt blocks a target's prefix cache holds, in fixed memory.
///
/// After a gap in the events an eviction may have been missed, so older blocks count for less.
class PrefixSketch
{
public:
    void apply(const PrefixEvent &event);

    /// @brief A request with @p blocks was sent there; its blocks will soon be cached.
    void expect(const std::vector<std::uint64_t> &blocks);

    /// @brief Expected number of leading @p blocks in the cache.
    double expectedHits(const std::vector<std::uint64_t> &blocks) const;

private:
    static constexpr std::size_t Slots = 512;

    struct Slot {
        std::uint32_t fingerprint = 0; ///< 0: empty.
        std::uint32_t gaps = 0; ///< Gaps seen when it was last confirmed.
    };

    void store(std::uint64_t block);

    std::array<Slot, Slots> m_slots{};
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_gaps = 0;
};

} // namespace celeryroute
