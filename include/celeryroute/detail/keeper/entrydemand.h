#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// Calls of one entry that a target is running, by item.
struct ItemCalls {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::uint32_t calls = 0;
    bool operator==(const ItemCalls &) const = default;
};

/// Calls of one entry that wait for an item at a target.
struct ItemWant {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::uint32_t calls = 0;
    std::uint32_t priority = 0; ///< Of the most urgent call; 0 goes first.
    Duration age{}; ///< Of the oldest call.
    bool operator==(const ItemWant &) const = default;
};

/// What one entry has in work at a target and wants there; each value replaces the one before.
struct EntryDemand {
    std::uint32_t poolTargets = 0; ///< Targets of the pool that the entry knows; 0 when unknown.
    std::vector<ItemCalls> inFlight;
    std::vector<ItemWant> wants;
    bool operator==(const EntryDemand &) const = default;
};

} // namespace celeryroute
