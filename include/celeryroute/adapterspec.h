#pragma once

#include <cstdint>
#include <string>

namespace celeryroute {

/// An adapter of a model.
struct AdapterSpec {
    std::string name;
    std::uint32_t memoryMb = 0;
    std::uint32_t replicas = 0; ///< Most hosts that may hold it at once.
    std::uint32_t version = 0;
    bool operator==(const AdapterSpec &) const = default;
};

} // namespace celeryroute
