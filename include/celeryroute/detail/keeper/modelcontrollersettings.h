#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Settings with which a ModelController is constructed.
struct ModelControllerSettings {
    std::string holder; ///< Name of the sender in orders: the name of the host.
    ServingBounds bounds;
    TimePoint started; ///< Start time of this agent.
    std::int64_t startedMs = 0; ///< Start time of this agent as Unix time in milliseconds, or 0 if unknown.
    bool firstStart = false; ///< No earlier agent has sent orders to any target.
    bool prefetch =
        false; ///< Load models for which no call waits, if that needs neither an unload nor the weight store.
};

} // namespace celeryroute
