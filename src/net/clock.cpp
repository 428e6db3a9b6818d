#include <celeryroute/detail/net/clock.h>

#include <ctime>

namespace celeryroute {

TimePoint bootTimeNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::int64_t wallClockMs()
{
    constexpr std::int64_t MsPerSecond = 1000;
    constexpr std::int64_t NsPerMs = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return time.tv_sec * MsPerSecond + time.tv_nsec / NsPerMs;
}

} // namespace celeryroute
