#pragma once

#include <celeryroute/time.h>

#include <array>
#include <cstddef>
#include <optional>

namespace celeryroute {

/// What keeping and loading a model cost, in one unit.
struct KeepWarmCosts {
    double idlePerSecond = 1.0; ///< Of the accelerators that a resident model occupies.
    double coldStart = 120.0; ///< Load work and the wait of the caller.
    bool operator==(const KeepWarmCosts &) const = default;
};

/// How long one model stays resident without requests, learned from its inter-arrival times.
class KeepWarmPolicy
{
public:
    explicit KeepWarmPolicy(KeepWarmCosts costs);

    /// @brief A request for the model arrived.
    void noteArrival(TimePoint now);

    /// @brief How long to keep the model resident after its last request.
    Duration keepFor() const;

    /// @brief Whether a resident model without work should be unloaded now.
    bool shouldUnload(TimePoint now) const;

private:
    static constexpr std::size_t Buckets = 40;

    struct Bucket {
        double count = 0.0;
        double seconds = 0.0; ///< Sum of the gaps.
        double longest = 0.0;
    };

    static std::size_t bucketOf(double seconds);

    KeepWarmCosts m_costs;
    std::array<Bucket, Buckets> m_gaps{};
    double m_samples = 0.0;
    std::optional<TimePoint> m_lastArrival;
};

} // namespace celeryroute
