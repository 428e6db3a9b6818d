#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <random>

namespace celeryroute {

/// @brief Exponential backoff with jitter.
class ExponentialBackoff
{
public:
    ExponentialBackoff(Duration min, Duration max, std::uint64_t seed);

    void useLimits(Duration min, Duration max);
    /// @brief Counts a failure and returns the delay before the next attempt.
    Duration failed();
    void succeeded();
    /// @brief Number of failures since the last success.
    std::uint32_t failures() const;

private:
    Duration m_min;
    Duration m_max;
    std::uint32_t m_failures = 0;
    std::minstd_rand m_random;
};

} // namespace celeryroute
