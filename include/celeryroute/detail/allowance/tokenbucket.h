#pragma once

#include <celeryroute/detail/allowance/refundlimit.h>
#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// @brief A token bucket whose level may become negative and which allows late refunds.
class TokenBucket
{
public:
    explicit TokenBucket(TimePoint now);

    /// @brief Adds the tokens that have accrued until @p now.
    void refill(TimePoint now);

    /// @brief Sets the rate in tokens per second, the capacity and the lowest level, and multiplies the level by
    /// @p scale.
    void reconfigure(double rate, double capacity, double floor, double scale);

    /// @brief Removes @p tokens, or adds them if the number is negative.
    void charge(double tokens);

    /// @brief Puts back @p tokens that were taken after step @p since.
    /// @return the number of tokens that were put back, which is less than @p tokens if the bucket has lacked room
    double refund(double tokens, std::uint64_t since);

    /// @brief The present step, to be passed to refund() later.
    std::uint64_t lastStep() const
    {
        return m_refundLimit.lastStep();
    }

    /// @brief Lowers the level to @p level if it is higher.
    void lowerTo(double level);

    /// @brief Time until the level reaches @p tokens.
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
    RefundLimit m_refundLimit;
};

} // namespace celeryroute
