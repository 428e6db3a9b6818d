#include "processusage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace celeryroute {

std::size_t peakMemoryKib(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kib = 0;
        if (word == "VmHWM:" && status >> kib) {
            return kib;
        }
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace celeryroute
