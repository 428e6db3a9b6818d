#include <celeryroute/detail/placement/targetring.h>

#include <celeryroute/detail/placement/knowntarget.h>

#include <algorithm>

namespace celeryroute {

namespace {

bool before(const KnownTarget *left, const KnownTarget *right)
{
    return left->digest != right->digest ? left->digest < right->digest : left->record.id < right->record.id;
}

} // namespace

// The finalizer of SplitMix64.
std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

// The upper 53 bits, as a fraction.
double unitRank(std::uint64_t key, const KnownTarget &target)
{
    return static_cast<double>(mixBits(key ^ target.digest) >> 11U) * 0x1.0p-53;
}

bool TargetRing::insert(KnownTarget *target)
{
    const auto place = std::lower_bound(m_targets.begin(), m_targets.end(), target, before);
    if (place != m_targets.end() && *place == target) {
        return false;
    }
    m_targets.insert(place, target);
    return true;
}

bool TargetRing::erase(KnownTarget *target)
{
    const auto place = std::lower_bound(m_targets.begin(), m_targets.end(), target, before);
    if (place == m_targets.end() || *place != target) {
        return false;
    }
    m_targets.erase(place);
    return true;
}

std::size_t TargetRing::size() const
{
    return m_targets.size();
}

bool TargetRing::empty() const
{
    return m_targets.empty();
}

const std::vector<KnownTarget *> &TargetRing::all() const
{
    return m_targets;
}

void TargetRing::sample(std::uint64_t key,
                        std::uint64_t spread,
                        std::size_t limit,
                        std::vector<KnownTarget *> &out) const
{
    if (m_targets.size() <= limit) {
        out.assign(m_targets.begin(), m_targets.end());
        return;
    }
    out.clear();
    walk(key, (limit + 1) / 2, out);
    walk(spread, limit / 2, out);
    std::sort(out.begin(), out.end(), before);
    out.erase(std::unique(out.begin(), out.end()), out.end());
}

// Each step looks from another place on, so that neighbours on the ring do not always go together.
void TargetRing::walk(std::uint64_t key, std::size_t count, std::vector<KnownTarget *> &out) const
{
    std::uint64_t at = key;
    for (std::size_t i = 0; i < count; ++i) {
        at = mixBits(at);
        const auto place = std::lower_bound(
            m_targets.begin(),
            m_targets.end(),
            at,
            [](const KnownTarget *target, std::uint64_t digest) { return target->digest < digest; });
        out.push_back(place == m_targets.end() ? m_targets.front() : *place);
    }
}

} // namespace celeryroute
