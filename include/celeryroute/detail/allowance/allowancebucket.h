#pragma once

#include <celeryroute/detail/allowance/refundroom.h>
#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// Tokens that accrue at a rate up to a capacity; the level may be negative.
class AllowanceBucket
{
public:
    explicit AllowanceBucket(TimePoint now);

    /// @brief Brings the level up to @p now.
    void accrue(TimePoint now);

    /// @brief Sets rate, capacity and the lowest level; the level is multiplied by @p scale.
    void reshape(double rate, double capacity, double floor, double scale);

    /// @brief Takes @p tokens; a negative number puts them back.
    void charge(double tokens);

    /// @brief Puts back what was taken after step @p since; returns what there was room for.
    double refund(double tokens, std::uint64_t since);

    /// @brief Step for refund(): the last time that the level was brought up to date.
    std::uint64_t lastStep() const
    {
        return m_room.lastStep();
    }

    /// @brief Takes away what is above @p level.
    void limit(double level);

    /// @brief Time until the level is @p tokens.
    Duration timeUntil(double tokens) const;

    double level() const
    {
        return m_level;
    }
    double capacity() const
    {
        return m_capacity;
    }
    double rate() const
    {
        return m_rate;
    }

private:
    double m_rate = 0;
    double m_capacity = 0;
    double m_floor = 0;
    double m_level = 0;
    TimePoint m_updated;
    RefundRoom m_room;
};

} // namespace celeryroute
