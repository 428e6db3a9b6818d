#pragma once

#include <celeryroute/detail/keeper/enginecatalog.h>
#include <celeryroute/detail/keeper/ordertracker.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief An amount of memory and adapter slots of a target.
struct MemoryUse {
    double memoryMb = 0;
    std::uint32_t slots = 0;
    bool operator==(const MemoryUse &) const = default;
};

/// @brief The sum of both amounts.
MemoryUse operator+(const MemoryUse &left, const MemoryUse &right);

/// @brief What the resident items occupy, together with those that are being loaded.
MemoryUse occupiedMemory(const OrderTracker &tracker, const EngineCatalog &catalog);

/// @brief What unanswered orders may still load after the next order.
MemoryUse laterLoadMemory(const OrderTracker &tracker, const EngineCatalog &catalog, const std::string &instance);

} // namespace celeryroute
