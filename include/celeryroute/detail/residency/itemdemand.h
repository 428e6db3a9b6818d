#pragma once

#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// What one request asks of a model that is not loaded.
struct LoadDemand {
    int priority = 0; ///< 0 most urgent.
    TimePoint deadline = TimePoint::max();
    bool operator==(const LoadDemand &) const = default;
};

/// Demand for one model or adapter, and how it has been used.
struct ItemDemand {
    std::uint32_t waiting = 0; ///< Requests that wait for the load.
    std::uint32_t uses = 0; ///< Requests that are queued or run.
    LoadDemand mostUrgent;
    TimePoint lastUse;
    double recentUses = 0; ///< Decays by half every UseHalfLife.
    Duration loadTime = std::chrono::seconds(1); ///< Measured at the last load.
    TimePoint retryAfter;
    std::uint32_t failures = 0; ///< Loads that failed since the last success.
    bool slotRequested = false;
    bool slotGranted = false;
    bool operator==(const ItemDemand &) const = default;
};

constexpr Duration UseHalfLife = std::chrono::minutes(5);

/// @brief Counts one more use at @p now.
ItemDemand recordUse(ItemDemand demand, TimePoint now);

/// @brief Expected cost of evicting an item, per megabyte: the load time that later uses would pay.
double keepWarmScore(const ItemDemand &demand, std::uint32_t memoryMb, TimePoint now);

/// @brief Whether @p left is to be loaded before @p right.
bool moreUrgent(const LoadDemand &left, const LoadDemand &right);

} // namespace celeryroute
