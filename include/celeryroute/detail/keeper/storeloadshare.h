#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>

namespace celeryroute {

/// @brief Limits the loads of one target from the weight store to its share of the store's rate.
///
/// All shares together stay within the rate without any messages between agents. If the limit allows at least one
/// load per target and window, each target counts its loads. Otherwise each target has a time slot (turn) in a cycle
/// that is longer than a window.
class StoreLoadShare
{
public:
    /// @param seed determines when in the cycle the turn of this target is
    explicit StoreLoadShare(std::uint64_t seed);

    void setLimits(double loadsPerSecond, const ServingBounds &bounds);
    /// @brief Sets the number of targets that an entry reported at @p now. A smaller number takes effect only after no
    /// entry has reported a larger one for a window, since the loads of the targets that left still count in it.
    void noteTargets(std::uint32_t targets, TimePoint now);

    /// @brief Notes that loads of this target may have begun unobserved until @p until.
    void noteUnobservedUntil(TimePoint until);

    /// @brief Notes that the target has joined at @p now. The other agents do not count it for a short time.
    void noteJoined(TimePoint now);

    /// @brief Notes that a load has begun at @p now or shortly before.
    void noteLoadStarted(TimePoint now);

    /// @brief Whether a load may begin while @p pending other loads may still begin.
    bool permits(TimePoint now, std::uint32_t pending) const;

    /// @brief Time until the next turn, or zero if loads are limited by count.
    Duration timeUntilTurn(TimePoint now) const;

    /// @brief Loads a second that this target may begin, or zero while it waits after a start.
    double grantedRate(TimePoint now) const;

    /// @brief Loads a second that this target began in the last window.
    double usedRate(TimePoint now) const
    {
        return rateOf(recentLoads(now));
    }

    /// @brief Number of loads that this target began in the last window.
    std::uint64_t recentLoads(TimePoint now) const;

    /// @brief Loads a second when @p loads begin in a window.
    double rateOf(std::uint64_t loads) const;

private:
    bool isWaiting(TimePoint now) const;
    std::uint32_t loadsPerWindow() const;
    Duration cycle() const;
    bool permitsByCount(TimePoint now, std::uint32_t pending) const;
    Duration positionInCycle(TimePoint time) const;
    bool permitsByTurn(TimePoint now, std::uint32_t pending) const;

    double m_limit = 0; ///< Limit for the loads of all targets in one window.
    Duration m_window{};
    std::uint32_t m_targets = 0; ///< Largest number in this period and the one before.
    std::uint32_t m_mostInPeriod = 0; ///< Largest number in this period.
    TimePoint m_periodEnd = TimePoint::min();
    std::uint64_t m_seed;
    std::deque<TimePoint> m_loadStarts;
    TimePoint m_unobservedUntil = TimePoint::min();
};

} // namespace celeryroute
