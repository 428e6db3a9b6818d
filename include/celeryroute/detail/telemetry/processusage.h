#pragma once

#include <cstdint>
#include <optional>

namespace celeryroute {

/// What a process takes from its host.
struct ProcessUsage {
    std::optional<std::uint64_t> residentBytes; ///< Empty when the host does not tell.
    double processorSeconds = 0;
    bool operator==(const ProcessUsage &) const = default;
};

/// @brief What this process takes from its host now.
ProcessUsage readProcessUsage();

} // namespace celeryroute
