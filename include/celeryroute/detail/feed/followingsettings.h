#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// Timing of a TopicFollower: long polls, timeouts and retries.
struct FollowingSettings {
    Duration hold{}; ///< Longest time that the store is asked to hold a read.
    Duration pacing{}; ///< Delay from an answer with records to the next read.
    Duration leastPatience{}; ///< Shortest timeout, beyond the time that the store holds the read.
    Duration mostPatience{}; ///< Longest timeout, beyond the time that the store holds the read.
    Duration leastRetry{}; ///< Backoff after the first failure.
    Duration mostRetry{}; ///< Longest backoff.
    Duration caution{}; ///< Reads are held half as long for this time after a failure.
    /// How long records count as fresh, from the start of their read. Holds are shortened so that the next
    /// read returns before that.
    std::optional<Duration> freshFor;
    bool operator==(const FollowingSettings &) const = default;

    /// @brief For the desired state, in processes that check API keys against it.
    static FollowingSettings forKeys(const ServingBounds &bounds);
    /// @brief For the desired state, in processes that check no API keys.
    static FollowingSettings forState(const ServingBounds &bounds);
    /// @brief For the registry of targets.
    static FollowingSettings forTargets(const ServingBounds &bounds);
};

} // namespace celeryroute
