#include <celeryroute/detail/allowance/tokenbucket.h>

#include <algorithm>

namespace celeryroute {

TokenBucket::TokenBucket(TimePoint now)
    : m_updated(now)
{}

void TokenBucket::refill(TimePoint now)
{
    if (now > m_updated) {
        m_level = std::min(m_capacity, m_level + m_rate * toSeconds(now - m_updated));
        m_updated = now;
    }
    m_refundLimit.noteRoom(m_capacity - m_level, m_updated);
}

void TokenBucket::reconfigure(double rate, double capacity, double floor, double scale)
{
    m_rate = rate;
    m_capacity = capacity;
    m_floor = floor;
    m_level = std::clamp(m_level * scale, m_floor, m_capacity);
    m_refundLimit.noteRoom(m_capacity - m_level, m_updated);
}

void TokenBucket::charge(double tokens)
{
    m_level = std::clamp(m_level - tokens, m_floor, m_capacity);
}

double TokenBucket::refund(double tokens, std::uint64_t since)
{
    const double returned = std::min(tokens, m_refundLimit.leastSince(since));
    m_refundLimit.reduceSince(since, returned);
    charge(-returned);
    return returned;
}

void TokenBucket::lowerTo(double level)
{
    m_level = std::min(m_level, level);
}

Duration TokenBucket::timeUntil(double tokens) const
{
    return tokens <= m_level || m_rate <= 0 ? Duration::zero() : fromSeconds((tokens - m_level) / m_rate);
}

} // namespace celeryroute
