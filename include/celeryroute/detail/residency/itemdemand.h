#pragma once

#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// Urgency of one request that needs a model to be loaded.
struct LoadDemand {
    int priority = 0; ///< 0 is the most urgent.
    TimePoint deadline = TimePoint::max();
    bool operator==(const LoadDemand &) const = default;
};

/// Demand for one model or adapter, and its usage history.
struct ItemDemand {
    std::uint32_t waiting = 0; ///< Requests that wait for the item to be loaded.
    std::uint32_t uses = 0; ///< Requests that are queued or running.
    LoadDemand mostUrgent;
    TimePoint lastUse;
    double recentUses = 0; ///< Number of uses, decaying with UseHalfLife.
    Duration loadTime = std::chrono::seconds(1); ///< Duration of the last load.
    TimePoint retryAfter;
    std::uint32_t failures = 0; ///< Failed loads since the last success.
    bool slotRequested = false;
    bool slotGranted = false;
    bool operator==(const ItemDemand &) const = default;
};

constexpr Duration UseHalfLife = std::chrono::minutes(5);

/// @brief Returns @p demand with one more use at @p now.
ItemDemand recordUse(ItemDemand demand, TimePoint now);

/// @brief Expected cost of evicting an item, in seconds of load time for later uses per megabyte.
double evictionCost(const ItemDemand &demand, std::uint32_t memoryMb, TimePoint now);

/// @brief Whether @p left is loaded before @p right.
bool isMoreUrgent(const LoadDemand &left, const LoadDemand &right);

} // namespace celeryroute
