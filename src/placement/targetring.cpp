#include <celeryroute/detail/placement/targetring.h>

#include <celeryroute/detail/placement/knowntarget.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t Neighbours = 8; // Successive targets on the ring from which each step of walk() chooses one.

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
double rendezvousScore(std::uint64_t key, const KnownTarget &target)
{
    return static_cast<double>(mixBits(key ^ target.digest) >> 11U) * 0x1.0p-53;
}

bool TargetRing::Position::operator<(const Position &other) const
{
    return digest != other.digest ? digest < other.digest : target->record.id < other.target->record.id;
}

bool TargetRing::insert(KnownTarget *target)
{
    const Position position{target->digest, target};
    const auto next = std::lower_bound(m_positions.begin(), m_positions.end(), position);
    if (next != m_positions.end() && next->target == target) {
        return false;
    }
    m_positions.insert(next, position);
    return true;
}

bool TargetRing::erase(KnownTarget *target)
{
    const auto position = std::lower_bound(m_positions.begin(), m_positions.end(), Position{target->digest, target});
    if (position == m_positions.end() || position->target != target) {
        return false;
    }
    m_positions.erase(position);
    return true;
}

std::size_t TargetRing::size() const
{
    return m_positions.size();
}

bool TargetRing::empty() const
{
    return m_positions.empty();
}

std::vector<KnownTarget *> TargetRing::all() const
{
    std::vector<KnownTarget *> targets;
    targets.reserve(m_positions.size());
    for (const Position &position : m_positions) {
        targets.push_back(position.target);
    }
    return targets;
}

void TargetRing::sample(std::uint64_t key,
                        std::uint64_t spread,
                        std::size_t limit,
                        std::vector<KnownTarget *> &out) const
{
    out.clear();
    if (m_positions.size() <= limit) {
        for (const Position &position : m_positions) {
            out.push_back(position.target);
        }
        return;
    }
    walk(key, (limit + 1) / 2, out);
    walk(spread, limit / 2, out);
}

// Chooses the highest-scoring of the next targets on the ring. If it always chose the first of them, a fifth of the
// targets would hardly ever be chosen, because their digests closely follow that of another target.
KnownTarget *TargetRing::pickNear(std::uint64_t at) const
{
    const auto next = std::lower_bound(m_positions.begin(),
                                       m_positions.end(),
                                       at,
                                       [](const Position &one, std::uint64_t digest) { return one.digest < digest; });
    auto index = static_cast<std::size_t>(next - m_positions.begin());
    KnownTarget *best = nullptr;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < Neighbours; ++i, ++index) {
        const Position &position = m_positions[index % m_positions.size()];
        const std::uint64_t rank = mixBits(at ^ position.digest);
        if (best == nullptr || rank > bestRank) {
            best = position.target;
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
        KnownTarget *target = pickNear(at);
        if (std::find(out.begin(), out.end(), target) == out.end()) {
            out.push_back(target);
        }
    }
}

} // namespace celeryroute
