#include <celeryroute/detail/allowance/allowancebucket.h>

#include <algorithm>

namespace celeryroute {

AllowanceBucket::AllowanceBucket(TimePoint now)
    : m_updated(now)
{}

void AllowanceBucket::accrue(TimePoint now)
{
    if (now > m_updated) {
        m_level = std::min(m_capacity, m_level + m_rate * toSeconds(now - m_updated));
        m_updated = now;
    }
    m_room.note(m_capacity - m_level, m_updated);
}

void AllowanceBucket::reshape(double rate, double capacity, double floor, double scale)
{
    m_rate = rate;
    m_capacity = capacity;
    m_floor = floor;
    m_level = std::clamp(m_level * scale, m_floor, m_capacity);
    m_room.note(m_capacity - m_level, m_updated);
}

void AllowanceBucket::charge(double tokens)
{
    m_level = std::clamp(m_level - tokens, m_floor, m_capacity);
}

double AllowanceBucket::refund(double tokens, std::uint64_t since)
{
    const double returned = std::min(tokens, m_room.least(since));
    m_room.lower(since, returned);
    charge(-returned);
    return returned;
}

void AllowanceBucket::limit(double level)
{
    m_level = std::min(m_level, level);
}

Duration AllowanceBucket::timeUntil(double tokens) const
{
    return tokens <= m_level || m_rate <= 0 ? Duration::zero() : fromSeconds((tokens - m_level) / m_rate);
}

} // namespace celeryroute
