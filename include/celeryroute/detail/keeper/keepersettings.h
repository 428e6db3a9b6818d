#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// What a ModelKeeper is told at its start.
struct KeeperSettings {
    std::string holder; ///< Name in orders; the host's.
    ServingBounds bounds;
    TimePoint started; ///< Of this agent.
    std::int64_t startedMs = 0; ///< The same as Unix time; 0 when it is not known.
    bool firstStart = false; ///< No agent gave orders before, to any target.
    bool prefetch = false; ///< Load models without a want where that costs nothing.
};

} // namespace celeryroute
