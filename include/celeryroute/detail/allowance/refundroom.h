#pragma once

#include <celeryroute/time.h>

#include <deque>

namespace celeryroute {

/// The least free room that a bucket had since some earlier time.
///
/// What comes back late may fill only room that was free ever since it was taken: a bucket that ran
/// full in between has already given it to others.
class RefundRoom
{
public:
    /// @brief Notes the room that is free at @p now.
    void note(double room, TimePoint now);

    /// @brief The least room at or after @p since; 0 when that is forgotten.
    double least(TimePoint since) const;

    /// @brief Takes @p tokens from the room at all times at or after @p since.
    void lower(TimePoint since, double tokens);

private:
    struct Minimum {
        TimePoint at;
        double room;
    };

    std::deque<Minimum> m_minima; ///< Times and rooms both ascend.
    TimePoint m_forgotten = TimePoint::min(); ///< Nothing is known up to here.
};

} // namespace celeryroute
