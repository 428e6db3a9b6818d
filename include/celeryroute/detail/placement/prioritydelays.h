#pragma once

#include <celeryroute/detail/placement/decayingmean.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Recent delays of first events of a pool, by priority. They differ because engines admit the more urgent calls
/// first, also those that arrive later.
class PriorityDelays
{
public:
    PriorityDelays();

    /// @brief Adds a first event that took @p factor times as long as predicted; @p late if it missed the latency goal.
    void add(std::uint32_t priority, double factor, bool late, TimePoint now);

    /// @brief Mean ratio of the actual to the predicted time; 1 without observations.
    double factor(std::uint32_t priority, TimePoint now) const;
    /// @brief Share of calls whose first event missed the latency goal, from 0 to 1.
    double lateShare(std::uint32_t priority, TimePoint now) const;

private:
    struct Delays {
        Delays();

        DecayingMean factor;
        DecayingMean late;
    };
    static constexpr std::size_t PriorityLevels = 10;

    const Delays &delaysOf(std::uint32_t priority) const;

    std::array<Delays, PriorityLevels> m_delays;
};

} // namespace celeryroute
