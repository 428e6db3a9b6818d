#pragma once

#include <celeryroute/detail/serving/loadingitem.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// The last report of a target's agent.
struct TargetView {
    std::int64_t bornMs = 0;
    bool reachable = true; ///< Whether the target answers its agent.
    bool ordering = true; ///< Whether the agent may give orders to the target.
    std::vector<ResidentModel> models;
    std::vector<LoadingItem> loading;
    LocalCopies copies;
    Duration storeWait{}; ///< Time until the agent may begin a load from the weight store.
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    std::uint64_t cacheUsed = 0; ///< KV cache tokens that cannot be evicted.
    std::uint64_t cacheTotal = 0;
    std::vector<std::string> declined; ///< Items that do not fit into memory beside those in use.
    std::uint64_t state = 0; ///< Number of the state; rises with each change but of the load.
    bool leaving = false; ///< The target has told its agent that it is leaving.
    bool operator==(const TargetView &) const = default;
};

} // namespace celeryroute
