#pragma once

#include <cstdint>
#include <optional>

namespace celeryroute {

/// Memory and processor time used by a process.
struct ProcessUsage {
    std::optional<std::uint64_t> residentBytes; ///< Empty if the host does not report it.
    double processorSeconds = 0;
    bool operator==(const ProcessUsage &) const = default;
};

/// @brief Reads the current usage of this process.
ProcessUsage readProcessUsage();

} // namespace celeryroute
