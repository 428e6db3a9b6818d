#include <celeryroute/detail/feed/freshness.h>

#include <algorithm>

namespace celeryroute {

namespace {

// What was admitted in time must also reach its target in time.
constexpr Duration LeastMargin = std::chrono::milliseconds(300);
constexpr int MarginsPerBound = 10;

} // namespace

Freshness::Freshness(Duration keyRevocation)
    : m_validity(std::max(Duration::zero(), keyRevocation - std::max(keyRevocation / MarginsPerBound, LeastMargin)))
{}

void Freshness::confirm(TimePoint readBegan)
{
    m_confirmed = std::max(m_confirmed.value_or(readBegan), readBegan);
}

std::optional<TimePoint> Freshness::confirmedAt() const
{
    return m_confirmed;
}

Duration Freshness::validity() const
{
    return m_validity;
}

std::optional<TimePoint> Freshness::validUntil() const
{
    if (!m_confirmed) {
        return std::nullopt;
    }
    return *m_confirmed + m_validity;
}

bool Freshness::keyedCallsAllowed(TimePoint now) const
{
    return m_confirmed && now - *m_confirmed < m_validity;
}

} // namespace celeryroute
