#pragma once

#include <celeryroute/adapterspec.h>

#include <vector>

namespace celeryroute {

/// A model that a pool serves.
struct ModelSpec {
    std::string name;
    std::uint32_t memoryMb = 0;
    std::uint32_t replicas = 0; ///< Most hosts that may hold it at once.
    std::uint32_t version = 0;
    std::vector<AdapterSpec> adapters;
    bool operator==(const ModelSpec &) const = default;
};

} // namespace celeryroute
