#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A model that the engines of a pool can load.
struct EngineModel {
    std::string name;
    double memoryMb = 0; ///< Size of the weights.
    Duration storeLoad{}; ///< Time to load the weights from the weight store.
    Duration diskLoad{}; ///< Time to load the weights from the target's disk.
    Duration memoryLoad{}; ///< Time to load the weights from the target's host memory.
    std::uint32_t adapters = 0;
    double adapterMb = 0; ///< Size of one adapter.
    bool operator==(const EngineModel &) const = default;
};

/// Capacity of each engine of a pool, and rate of the weight store.
struct EngineSpec {
    std::uint32_t slots = 0; ///< Requests in one batch.
    std::uint64_t cacheTokens = 0; ///< Capacity of the KV cache.
    double memoryMb = 0; ///< Memory for weights and adapters together.
    std::uint32_t adapterSlots = 0;
    double loadsPerSecond = 0; ///< Rate of loads from the weight store, summed over all targets.
    std::vector<EngineModel> models;
    bool operator==(const EngineSpec &) const = default;

    /// @brief The model called @p name, or null.
    const EngineModel *model(const std::string &name) const;
};

} // namespace celeryroute
