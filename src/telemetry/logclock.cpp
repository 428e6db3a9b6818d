#include <celeryroute/detail/telemetry/logclock.h>

#include <ctime>

namespace celeryroute {

namespace {

constexpr std::int64_t MsPerSecond = 1000;
constexpr std::int64_t NsPerMs = 1'000'000;

std::int64_t readMs(clockid_t clock)
{
    timespec time{};
    (void)clock_gettime(clock, &time);
    return time.tv_sec * MsPerSecond + time.tv_nsec / NsPerMs;
}

} // namespace

LogClock readLogClock()
{
    return {readMs(CLOCK_REALTIME), readMs(CLOCK_BOOTTIME)};
}

} // namespace celeryroute
