#include <celeryroute/detail/feed/keyfreshness.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

// A call that was admitted just before the keys went stale must still reach its target within the bound.
constexpr Duration LeastMargin = std::chrono::milliseconds(300);
constexpr int MarginsPerBound = 10;

Duration validityFor(Duration keyRevocation)
{
    return std::max(Duration::zero(), keyRevocation - std::max(keyRevocation / MarginsPerBound, LeastMargin));
}

} // namespace

KeyFreshness::KeyFreshness(Duration keyRevocation)
    : m_validity(validityFor(keyRevocation))
    , m_earlierValidity(m_validity)
{}

void KeyFreshness::useRevocationBound(Duration keyRevocation, TimePoint now)
{
    const Duration before = std::exchange(m_validity, validityFor(keyRevocation));
    if (m_confirmed) {
        m_until = std::min(m_until, *m_confirmed + m_validity);
    }
    // If no read began since the previous change, the limit from before that change still applies to earlier reads.
    const bool kept = m_confirmed && *m_confirmed >= m_validFrom;
    m_earlierValidity = std::min(m_validity, kept ? before : std::min(before, m_earlierValidity));
    m_validFrom = now;
}

void KeyFreshness::confirm(TimePoint readBegan)
{
    if (m_confirmed && readBegan <= *m_confirmed) {
        return; // Already confirmed, possibly under another bound.
    }
    m_confirmed = readBegan;
    m_until = std::max(m_until, readBegan + (readBegan < m_validFrom ? m_earlierValidity : m_validity));
}

std::optional<TimePoint> KeyFreshness::confirmedAt() const
{
    return m_confirmed;
}

Duration KeyFreshness::validity() const
{
    return m_validity;
}

std::optional<TimePoint> KeyFreshness::validUntil() const
{
    if (!m_confirmed) {
        return std::nullopt;
    }
    return m_until;
}

bool KeyFreshness::areKeyedCallsAllowed(TimePoint now) const
{
    return m_confirmed && now < m_until;
}

} // namespace celeryroute
