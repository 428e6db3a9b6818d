#pragma once

#include <celeryroute/detail/residency/itemphase.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// One model or adapter that an engine reports.
struct InventoryItem {
    std::string item; ///< `model` or `model/adapter`.
    std::uint32_t memoryMb = 0;
    std::uint32_t version = 0;
    std::uint64_t fencing = 0;
    ItemPhase phase = ItemPhase::Resident;
    bool operator==(const InventoryItem &) const = default;
};

/// Snapshot of the memory contents of an engine.
struct EngineInventory {
    std::uint32_t memoryMb = 0; ///< Memory capacity of the engine.
    std::vector<InventoryItem> items;
    bool operator==(const EngineInventory &) const = default;
};

} // namespace celeryroute
