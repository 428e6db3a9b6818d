#pragma once

#include <celeryroute/detail/serving/servingbounds.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>

namespace celeryroute {

/// One target's share of the loads from the weight store.
///
/// All shares together stay within the store's rate without any exchange between agents: with at
/// least one load per target and window by counting, else by turns spread over a longer cycle.
class StoreLoadShare
{
public:
    /// @brief @p seed spreads the turns of the targets.
    explicit StoreLoadShare(std::uint64_t seed);

    void useLimits(double loadsPerSecond, const ServingBounds &bounds);
    /// @brief There are @p targets, as an entry says at @p now. A smaller number counts only when none has
    /// said a larger one for a window: what the others began is still in it.
    void useTargets(std::uint32_t targets, TimePoint now);

    /// @brief Loads may have begun unseen until @p until.
    void noteUnknownPast(TimePoint until);

    /// @brief The target has come at @p now: the others count without it for a moment yet.
    void noteJoined(TimePoint now);

    /// @brief A load has begun at @p now at the latest.
    void noteBegan(TimePoint now);

    /// @brief Whether a load may begin, with @p pending others that may still begin.
    bool permits(TimePoint now, std::uint32_t pending) const;

    /// @brief Time until the next turn, where turns are taken; else zero.
    Duration untilTurn(TimePoint now) const;

private:
    std::uint32_t perWindow() const;
    Duration cycle() const;
    bool permitsByCount(TimePoint now, std::uint32_t pending) const;
    Duration intoCycle(TimePoint time) const;
    bool permitsByTurn(TimePoint now, std::uint32_t pending) const;

    double m_limit = 0; ///< Loads of all targets in one window.
    Duration m_window{};
    std::uint32_t m_targets = 0; ///< Most in this period and the one before.
    std::uint32_t m_most = 0; ///< In this period.
    TimePoint m_periodEnd = TimePoint::min();
    std::uint64_t m_seed;
    std::deque<TimePoint> m_began;
    TimePoint m_unknownUntil = TimePoint::min();
};

} // namespace celeryroute
