#pragma once

#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// The load of a target in a message of its agent that belongs to an earlier report of the whole state.
struct TargetLoad {
    std::uint64_t state = 0; ///< Number of the state in the report.
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    std::uint64_t cacheUsed = 0; ///< KV cache tokens that cannot be evicted.
    Duration storeWait{}; ///< Time until the agent may begin a load from the weight store.
    bool operator==(const TargetLoad &) const = default;
};

} // namespace celeryroute
