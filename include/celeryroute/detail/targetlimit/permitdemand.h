#pragma once

#include <cstdint>
#include <string>

namespace celeryroute {

/// Calls of an entry that wait for a permit to be sent to a target.
struct PermitDemand {
    std::string target;
    std::uint32_t calls = 0;
    std::uint32_t priority = 0; ///< Of the most urgent of them, 0 first.
    bool operator==(const PermitDemand &) const = default;
};

} // namespace celeryroute
