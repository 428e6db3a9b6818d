#pragma once

#include <celeryroute/modelspec.h>
#include <celeryroute/storelimits.h>

namespace celeryroute {

/// What the targets of a pool are.
enum class PoolKind {
    Engine, ///< Model engines.
    Service, ///< Plain HTTP services.
};

/// What capacity serves a name.
struct PoolSpec {
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::uint32_t memoryMb = 0; ///< Of each worker's accelerators.
    std::uint32_t maxConcurrent = 0; ///< Requests at once per target.
    std::uint32_t maxQueued = 0; ///< Requests waiting per target.
    bool targetsCheckFencing = false; ///< Whether its engines refuse an old fencing number.
    std::vector<ModelSpec> models;
    StoreLimits store;
    bool operator==(const PoolSpec &) const = default;
};

/// @brief `engine` or `service`.
std::string toString(PoolKind kind);

} // namespace celeryroute
