#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <random>

namespace celeryroute {

/// @brief Growing, jittered delays between tries.
class RetryDelay
{
public:
    RetryDelay(Duration least, Duration most, std::uint64_t seed);

    void useLimits(Duration least, Duration most);
    /// @brief Counts a failure and returns how long the next try is put off.
    Duration failed();
    void succeeded();
    /// @brief Failures since the last success.
    std::uint32_t failures() const;

private:
    Duration m_least;
    Duration m_most;
    std::uint32_t m_failures = 0;
    std::minstd_rand m_random;
};

} // namespace celeryroute
