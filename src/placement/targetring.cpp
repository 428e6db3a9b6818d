#include <celeryroute/detail/placement/targetring.h>

#include <celeryroute/detail/placement/knowntarget.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t Neighbours = 8; // Targets among which a step of the walk chooses.

} // namespace

// The finalizer of SplitMix64.
std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

// Uses the upper 53 bits as a fraction, the precision of a double.
double unitRank(std::uint64_t key, const KnownTarget &target)
{
    return static_cast<double>(mixBits(key ^ target.digest) >> 11U) * 0x1.0p-53;
}

bool TargetRing::Place::operator<(const Place &other) const
{
    return digest != other.digest ? digest < other.digest : target->record.id < other.target->record.id;
}

bool TargetRing::insert(KnownTarget *target)
{
    const Place place{target->digest, target};
    const auto next = std::lower_bound(m_places.begin(), m_places.end(), place);
    if (next != m_places.end() && next->target == target) {
        return false;
    }
    m_places.insert(next, place);
    return true;
}

bool TargetRing::erase(KnownTarget *target)
{
    const auto place = std::lower_bound(m_places.begin(), m_places.end(), Place{target->digest, target});
    if (place == m_places.end() || place->target != target) {
        return false;
    }
    m_places.erase(place);
    return true;
}

std::size_t TargetRing::size() const
{
    return m_places.size();
}

bool TargetRing::empty() const
{
    return m_places.empty();
}

std::vector<KnownTarget *> TargetRing::all() const
{
    std::vector<KnownTarget *> targets;
    targets.reserve(m_places.size());
    for (const Place &place : m_places) {
        targets.push_back(place.target);
    }
    return targets;
}

void TargetRing::sample(std::uint64_t key,
                        std::uint64_t spread,
                        std::size_t limit,
                        std::vector<KnownTarget *> &out) const
{
    out.clear();
    if (m_places.size() <= limit) {
        for (const Place &place : m_places) {
            out.push_back(place.target);
        }
        return;
    }
    walk(key, (limit + 1) / 2, out);
    walk(spread, limit / 2, out);
}

// Chooses the highest-scoring of the targets that follow. If it always chose the next one, a fifth of the targets would
// hardly ever be chosen, because their digests closely follow that of another target.
KnownTarget *TargetRing::near(std::uint64_t at) const
{
    const auto next = std::lower_bound(m_places.begin(),
                                       m_places.end(),
                                       at,
                                       [](const Place &one, std::uint64_t digest) { return one.digest < digest; });
    auto index = static_cast<std::size_t>(next - m_places.begin());
    KnownTarget *best = nullptr;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < Neighbours; ++i, ++index) {
        const Place &place = m_places[index % m_places.size()];
        const std::uint64_t rank = mixBits(at ^ place.digest);
        if (best == nullptr || rank > bestRank) {
            best = place.target;
            bestRank = rank;
        }
    }
    return best;
}

// Each step starts at another position, so that neighbours on the ring are not always chosen together.
void TargetRing::walk(std::uint64_t key, std::size_t count, std::vector<KnownTarget *> &out) const
{
    std::uint64_t at = key;
    for (std::size_t i = 0; i < count; ++i) {
        at = mixBits(at);
        KnownTarget *target = near(at);
        if (std::find(out.begin(), out.end(), target) == out.end()) {
            out.push_back(target);
        }
    }
}

} // namespace celeryroute
