#pragma once

#include <cstdint>

namespace celeryroute {

/// What the weight store gives at full speed, to all hosts of a pool together.
struct StoreLimits {
    double loadsPerSecond = 0;
    std::uint32_t parallelLoads = 0;
    std::uint32_t adaptersInFlight = 0;
    bool operator==(const StoreLimits &) const = default;
};

} // namespace celeryroute
