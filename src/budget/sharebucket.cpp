#include <celeryroute/detail/budget/sharebucket.h>

#include <algorithm>

namespace celeryroute {

ShareBucket::ShareBucket(BudgetLimits limits, TimePoint now)
    : m_limits(limits)
    , m_refilled(now)
{}

void ShareBucket::refill(TimePoint until)
{
    if (until <= m_refilled) {
        return;
    }
    m_tokens += rate() * toSeconds(until - m_refilled);
    m_refilled = until;
    clampAndRecord();
}

void ShareBucket::skipTo(TimePoint now)
{
    m_refilled = std::max(m_refilled, now);
}

void ShareBucket::setLimits(BudgetLimits limits)
{
    m_limits = limits;
    clampAndRecord();
}

void ShareBucket::setFractions(double rateFraction, double burstFraction)
{
    m_rateFraction = rateFraction;
    m_burstFraction = burstFraction;
    clampAndRecord();
}

std::uint64_t ShareBucket::take(double tokens)
{
    if (tokens > m_tokens) {
        return 0;
    }
    m_tokens -= tokens;
    const std::uint64_t step = m_history.record(capacity() - m_tokens);
    m_outstanding.insert(step);
    return step;
}

// The bucket must behave as if only the used tokens had been taken at the time of the reservation. With the
// unused tokens in it, it would have overflowed by the part that exceeds the minimum free capacity since
// then, so that part is not put back.
void ShareBucket::refund(std::uint64_t step, double tokens)
{
    if (m_outstanding.erase(step) == 0) {
        return;
    }
    const double credit = tokens < 0 ? tokens : std::clamp(m_history.minimumSince(step), 0.0, tokens);
    m_tokens += credit;
    m_history.reduce(step, credit);
    if (m_outstanding.empty()) {
        m_history.clear();
    } else {
        m_history.dropBefore(*m_outstanding.begin());
    }
}

BudgetSlice ShareBucket::splitOff(double fraction)
{
    const double part = std::clamp(fraction, 0.0, 1.0);
    const BudgetSlice slice{m_rateFraction * part, m_burstFraction * part, std::max(0.0, m_tokens) * part};
    m_rateFraction -= slice.rateFraction;
    m_burstFraction -= slice.burstFraction;
    m_tokens -= slice.tokens;
    clampAndRecord();
    return slice;
}

void ShareBucket::add(const BudgetSlice &slice)
{
    m_rateFraction += slice.rateFraction;
    m_burstFraction += slice.burstFraction;
    m_tokens += std::min(slice.tokens, slice.burstFraction * m_limits.burstTokens);
    clampAndRecord();
}

void ShareBucket::clampAndRecord()
{
    m_tokens = std::min(m_tokens, capacity());
    if (!m_outstanding.empty()) {
        m_history.record(capacity() - m_tokens);
    }
}

} // namespace celeryroute
