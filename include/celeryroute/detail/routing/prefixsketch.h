#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace celeryroute {

/// A change of a target's prefix cache. Events arrive late and some are lost.
struct PrefixEvent {
    std::uint64_t sequence = 0; ///< Increases by one with each event of a target.
    std::uint64_t block = 0; ///< Digest of a prompt block and all blocks before it.
    bool stored = true; ///< False if the block was evicted.
    bool operator==(const PrefixEvent &) const = default;
};

/// Estimates in fixed memory which prompt blocks a target's prefix cache holds.
///
/// After a gap in the events an eviction may have been missed, so blocks stored before the gap count
/// for less.
class PrefixSketch
{
public:
    void apply(const PrefixEvent &event);

    /// @brief Assumes @p blocks to be cached soon, because a request with them was sent to the target.
    void expect(const std::vector<std::uint64_t> &blocks);

    /// @brief Expected number of leading @p blocks in the cache.
    double expectedHits(const std::vector<std::uint64_t> &blocks) const;

private:
    static constexpr std::size_t Slots = 512;

    struct Slot {
        std::uint32_t fingerprint = 0; ///< 0 if the slot is empty.
        std::uint32_t gaps = 0; ///< Value of m_gaps when the block was last stored.
    };

    void store(std::uint64_t block);

    std::array<Slot, Slots> m_slots{};
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_gaps = 0; ///< Gaps in the event sequence so far.
};

} // namespace celeryroute
