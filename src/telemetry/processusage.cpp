#include <celeryroute/detail/telemetry/processusage.h>

#include <cstdio>
#include <ctime>
#include <memory>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr double NsPerSecond = 1e9;

std::optional<std::uint64_t> residentBytes()
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE *)> file(std::fopen("/proc/self/statm", "re"), &std::fclose);
    unsigned long long total = 0;
    unsigned long long resident = 0;
    if (!file || std::fscanf(file.get(), "%llu %llu", &total, &resident) != 2) { // NOLINT(cert-err34-c)
        return std::nullopt;
    }
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

ProcessUsage readProcessUsage()
{
    timespec time{};
    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return {residentBytes(), static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / NsPerSecond};
}

} // namespace celeryroute
