#pragma once

#include <celeryroute/detail/serving/loadingitem.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What a target's agent last said of it.
struct TargetView {
    std::int64_t bornMs = 0;
    bool reachable = true; ///< The target answers its agent.
    bool ordering = true; ///< The agent may give orders.
    std::vector<ResidentModel> models;
    std::vector<LoadingItem> loading;
    LocalCopies copies;
    Duration storeWait{}; ///< Until its agent may begin a load from the weight store.
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    std::uint64_t cacheUsed = 0; ///< Tokens that cannot yield.
    std::uint64_t cacheTotal = 0;
    std::vector<std::string> declined; ///< Items that do not fit beside what is in use.
    bool operator==(const TargetView &) const = default;
};

} // namespace celeryroute
