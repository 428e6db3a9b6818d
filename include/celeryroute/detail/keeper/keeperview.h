#pragma once

#include <celeryroute/detail/serving/loadingitem.h>
#include <celeryroute/detail/serving/targetrecord.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What an agent tells the entries of its target.
struct KeeperView {
    std::string instance;
    std::int64_t bornMs = 0;
    bool reachable = false;
    bool ordering = false; ///< Wants can be met.
    std::vector<ResidentModel> models; ///< Without those that are being unloaded.
    std::vector<LoadingItem> loading; ///< Being loaded, or next.
    LocalCopies copies;
    std::vector<std::string> declined; ///< Wanted items that cannot be loaded now.
    Duration storeWait{}; ///< Until a load from the weight store may begin.
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    std::uint64_t cacheUsed = 0;
    std::uint64_t cacheTotal = 0;
    bool operator==(const KeeperView &) const = default;
};

} // namespace celeryroute
