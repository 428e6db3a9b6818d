#pragma once

#include <cstdint>

namespace celeryroute {

/// Load that a target reports in its answers.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool operator==(const ReportedLoad &) const = default;
};

} // namespace celeryroute
