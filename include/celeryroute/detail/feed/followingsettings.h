#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// How a topic is followed: how long reads are held, awaited and put off.
struct FollowingSettings {
    Duration hold{}; ///< Longest time that the store is asked to hold a read.
    Duration pacing{}; ///< From an answer with records to the next read.
    Duration leastPatience{}; ///< For an answer beyond the time that it is held.
    Duration mostPatience{};
    Duration leastRetry{}; ///< From the first failure to the next try.
    Duration mostRetry{};
    Duration caution{}; ///< For so long after a failure reads are held half as long.
    /// What was read counts as new for so long from the start of the read; reads return in time for it.
    std::optional<Duration> freshFor;
    bool operator==(const FollowingSettings &) const = default;

    /// @brief Of the desired state, at processes that check keys against it.
    static FollowingSettings forKeys(const ServingBounds &bounds);
    /// @brief Of the desired state, at processes that check no keys.
    static FollowingSettings forState(const ServingBounds &bounds);
    /// @brief Of the registry of targets.
    static FollowingSettings forTargets(const ServingBounds &bounds);
};

} // namespace celeryroute
