#pragma once

#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// Status report of a model engine.
struct TargetReport {
    std::vector<ResidentModel> models;
    std::vector<std::string> pendingAdapters; ///< `MODEL/ADAPTER` names of adapters that are being transferred.
    bool busy = false; ///< Whether an order is in progress.
    std::uint64_t sequence = 0; ///< Number of orders accepted in this lifetime.
    std::int64_t bornMs = 0; ///< Start of this lifetime in Unix milliseconds; 0 if unknown.
    std::uint32_t queued = 0; ///< Waiting requests.
    std::uint32_t active = 0; ///< Running requests.
    std::uint64_t cacheUsed = 0; ///< KV cache tokens that can't be evicted.
    std::uint64_t cacheTotal = 0; ///< Capacity of the KV cache in tokens.
    LocalCopies copies;
    bool leaving = false; ///< The target says that it is leaving.
    bool operator==(const TargetReport &) const = default;
};

} // namespace celeryroute
