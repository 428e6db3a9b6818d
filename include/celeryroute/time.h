#pragma once

#include <chrono>

namespace celeryroute {

/// Clock for waits, timeouts and deadlines inside one process.
using MonotonicClock = std::chrono::steady_clock;
/// A present time or deadline on the clock of this process.
using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;
/// Calendar time; used in records and logs only, never to order events of two hosts.
using WallTime = std::chrono::system_clock::time_point;

/// @brief Whole milliseconds in @p duration, rounded down.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @brief Seconds in @p duration as a fraction.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @brief The duration of @p seconds, which may be a fraction.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace celeryroute
