#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Calls of one entry that a target is running for one item.
struct ItemCalls {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::uint32_t calls = 0;
    bool operator==(const ItemCalls &) const = default;
};

/// @brief Calls of one entry that wait until a target has loaded an item.
struct WaitingCalls {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::uint32_t calls = 0;
    std::uint32_t priority = 0; ///< Priority of the most urgent call. Lower values are served first.
    Duration age{}; ///< Waiting time of the oldest call.
    bool operator==(const WaitingCalls &) const = default;
};

/// @brief Running and waiting calls of one entry at a target. Each report replaces the one before.
struct EntryDemand {
    std::uint32_t poolTargets = 0; ///< Number of targets in the pool, or 0 if the entry does not know it.
    std::vector<ItemCalls> inFlight;
    std::vector<WaitingCalls> waiting;
    bool operator==(const EntryDemand &) const = default;
};

} // namespace celeryroute
