#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// The weight store's limits and speeds.
struct StoreSettings {
    double loadsPerSecond = 4.0;
    unsigned parallelLoads = 4; ///< Model loads at once at full speed.
    unsigned adaptersInFlight = 30; ///< Adapter loads at once at full speed.
    Duration adapterTime = std::chrono::milliseconds(7);
    double megabytesPerSecond = 8000.0; ///< Of one model load at full speed.
    bool operator==(const StoreSettings &) const = default;
};

} // namespace celeryroute
