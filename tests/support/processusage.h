#pragma once

#include <cstddef>
#include <sys/types.h>

namespace celeryroute {

/// @brief Peak resident memory of process @p pid in KiB; 0 if it has ended.
std::size_t peakMemoryKib(pid_t pid);

/// @brief Number of descriptors that process @p pid has open.
std::size_t openDescriptors(pid_t pid);

} // namespace celeryroute
