#pragma once

#include <celeryroute/detail/serving/loadingitem.h>
#include <celeryroute/detail/serving/targetrecord.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief State of a target that its agent publishes to the entries.
struct TargetStatus {
    std::string instance;
    std::int64_t bornMs = 0;
    bool reachable = false;
    bool leaving = false; ///< The target has said that it is leaving.
    bool ordering = false; ///< The agent can send load orders to the target.
    std::vector<ResidentModel> models; ///< Resident models, without those that are being unloaded.
    std::vector<LoadingItem> loading; ///< Items that are being loaded or are planned to be loaded.
    LocalCopies copies;
    std::vector<std::string> declined; ///< Items for which calls wait and that cannot be loaded now.
    Duration storeWait{}; ///< Time until a load from the weight store may begin.
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    std::uint64_t cacheUsed = 0;
    std::uint64_t cacheTotal = 0;
    bool operator==(const TargetStatus &) const = default;
};

} // namespace celeryroute
