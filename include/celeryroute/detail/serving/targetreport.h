#pragma once

#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What a model engine says of itself.
struct TargetReport {
    std::vector<ResidentModel> models;
    std::vector<std::string> pendingAdapters; ///< `MODEL/NAME` on their way to the target.
    bool busy = false; ///< An order is in progress.
    std::uint64_t sequence = 0; ///< Orders accepted in this lifetime.
    std::int64_t bornMs = 0; ///< Unix time of the start of this lifetime; 0 when it is not said.
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    std::uint64_t cacheUsed = 0; ///< Tokens that cannot yield.
    std::uint64_t cacheTotal = 0;
    LocalCopies copies;
    bool operator==(const TargetReport &) const = default;
};

} // namespace celeryroute
