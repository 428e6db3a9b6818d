#pragma once

#include <celeryroute/result.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// An order to load or unload a model or adapter.
struct LoadOrder {
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::uint64_t memoryMb = 0;
    std::uint64_t version = 0;
    std::uint64_t fencing = 0;
    /// `model` or `model/adapter`.
    std::string item() const
    {
        return adapter.empty() ? model : model + "/" + adapter;
    }
    bool operator==(const LoadOrder &) const = default;
};

/// @brief Reads the body of an order; fails with RequestMalformed.
Result<LoadOrder> parseLoadOrder(const std::string &body);

} // namespace celeryroute
