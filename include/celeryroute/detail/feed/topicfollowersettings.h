#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <optional>

namespace celeryroute {

/// Timing of a TopicFollower: long polls, timeouts and retries.
struct TopicFollowerSettings {
    Duration hold{}; ///< Longest time that the store is asked to hold a read.
    Duration batchDelay{}; ///< Delay from an answer with records to the next read.
    Duration minAnswerTimeout{}; ///< Shortest timeout, beyond the time that the store holds the read.
    Duration maxAnswerTimeout{}; ///< Longest timeout, beyond the time that the store holds the read.
    Duration minBackoff{}; ///< Backoff after the first failure.
    Duration maxBackoff{}; ///< Longest backoff.
    Duration cautionPeriod{}; ///< Reads are held half as long for this time after a failure.
    /// How long records count as fresh, from the start of their read. Holds are shortened so that the next
    /// read returns before that.
    std::optional<Duration> recordValidity;
    bool operator==(const TopicFollowerSettings &) const = default;

    /// @brief For the desired state, in processes that check API keys against it.
    static TopicFollowerSettings forKeys(const ServingBounds &bounds);
    /// @brief For the desired state, in processes that check no API keys.
    static TopicFollowerSettings forState(const ServingBounds &bounds);
    /// @brief For the registry of targets, which @p readers processes read.
    static TopicFollowerSettings forTargets(const ServingBounds &bounds, std::size_t readers = 1);
};

} // namespace celeryroute
