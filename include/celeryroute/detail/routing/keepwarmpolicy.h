#pragma once

#include <celeryroute/time.h>

#include <array>
#include <cstddef>
#include <optional>

namespace celeryroute {

/// Costs of keeping a model resident and of loading it, both in the same arbitrary unit.
struct KeepWarmCosts {
    double idlePerSecond = 1.0; ///< Cost of the accelerators that an idle resident model occupies.
    double coldStart = 120.0; ///< Cost of one load, including the wait of the caller.
    bool operator==(const KeepWarmCosts &) const = default;
};

/// Decides how long one model stays resident without requests, based on a decaying histogram of its
/// inter-arrival times.
class KeepWarmPolicy
{
public:
    explicit KeepWarmPolicy(KeepWarmCosts costs);

    /// @brief Records that a request for the model arrived at @p now.
    void recordArrival(TimePoint now);

    /// @brief Time to keep the model resident after its last request.
    Duration keepWarmDuration() const;

    /// @brief Whether a resident model without work should be unloaded now.
    bool shouldUnload(TimePoint now) const;

private:
    static constexpr std::size_t Buckets = 40;

    struct Bucket {
        double count = 0.0;
        double seconds = 0.0; ///< Sum of the inter-arrival times in this bucket.
        double longest = 0.0; ///< Longest inter-arrival time in seconds.
    };

    static std::size_t bucketIndex(double seconds);

    KeepWarmCosts m_costs;
    std::array<Bucket, Buckets> m_gaps{};
    double m_samples = 0.0;
    std::optional<TimePoint> m_lastArrival;
};

} // namespace celeryroute
