#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <deque>

namespace celeryroute {

/// @brief Tracks the least free room that a token bucket had since each earlier step.
///
/// A late refund may use only room that was free all the time since the tokens were taken. A bucket that was full in
/// between has already made up for those tokens.
class RefundLimit
{
public:
    /// @brief Begins the next step, with the room that is free at @p now.
    void noteRoom(double room, TimePoint now);

    /// @brief The least room after step @p since, or 0 if that step is too old.
    double leastSince(std::uint64_t since) const;

    /// @brief Reduces the room of all steps after @p since by @p tokens.
    void reduceSince(std::uint64_t since, double tokens);

    std::uint64_t lastStep() const
    {
        return m_lastStep;
    }

private:
    struct Minimum {
        std::uint64_t step;
        TimePoint at;
        double room;
    };

    std::deque<Minimum> m_minima; ///< Ascending by step and by room.
    std::uint64_t m_lastStep = 0;
    std::uint64_t m_lastDropped = 0; ///< Newest step that was dropped.
};

} // namespace celeryroute
