#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A model that the engines of a pool can load.
struct EngineModel {
    std::string name;
    double memoryMb = 0; ///< Of the weights.
    Duration storeLoad{}; ///< Load from the weight store.
    Duration diskLoad{}; ///< Load from the target's disk.
    Duration memoryLoad{}; ///< Load from the target's host memory.
    std::uint32_t adapters = 0;
    double adapterMb = 0; ///< Of one adapter.
    bool operator==(const EngineModel &) const = default;
};

/// What each engine of a pool can hold, and how fast the weight store hands out.
struct EngineSpec {
    std::uint32_t slots = 0; ///< Requests in one batch.
    std::uint64_t cacheTokens = 0; ///< Capacity of the KV cache.
    double memoryMb = 0; ///< For weights and adapters together.
    std::uint32_t adapterSlots = 0;
    double loadsPerSecond = 0; ///< Loads from the weight store, over all targets.
    std::vector<EngineModel> models;
    bool operator==(const EngineSpec &) const = default;

    /// @brief The model called @p name, or null.
    const EngineModel *model(const std::string &name) const;
};

} // namespace celeryroute
