#include <celeryroute/detail/routing/prefixsketch.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

/// Probability that a block is still cached after a gap in the sequence numbers of the events, because the
/// lost events may include its removal.
constexpr double GapSurvivalProbability = 0.5;

std::uint32_t fingerprintOf(std::uint64_t block)
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(block >> 32U));
}

} // namespace

void PrefixSketch::apply(const PrefixEvent &event)
{
    if (m_lastSequence > 0 && event.sequence > m_lastSequence + 1) {
        ++m_gaps;
    }
    m_lastSequence = std::max(m_lastSequence, event.sequence);
    Slot &slot = m_slots[event.block % Slots];
    if (event.stored) {
        store(event.block);
    } else if (slot.fingerprint == fingerprintOf(event.block)) {
        slot = {};
    }
}

void PrefixSketch::expect(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        store(block);
    }
}

// A block counts only if all blocks before it are cached as well.
double PrefixSketch::expectedHits(const std::vector<std::uint64_t> &blocks) const
{
    double hits = 0.0;
    double confidence = 1.0;
    for (const std::uint64_t block : blocks) {
        const Slot &slot = m_slots[block % Slots];
        if (slot.fingerprint != fingerprintOf(block)) {
            break;
        }
        confidence = std::min(confidence, std::pow(GapSurvivalProbability, m_gaps - slot.gaps));
        hits += confidence;
    }
    return hits;
}

void PrefixSketch::store(std::uint64_t block)
{
    m_slots[block % Slots] = {fingerprintOf(block), m_gaps};
}

} // namespace celeryroute
