#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <deque>

namespace celeryroute {

/// The least free room that a bucket had since some earlier step.
///
/// What comes back late may fill only room that was free ever since it was taken: a bucket that ran
/// full in between has already given it to others.
class RefundRoom
{
public:
    /// @brief Notes the room that is free at @p now, as the next step.
    void note(double room, TimePoint now);

    /// @brief The least room after step @p since; 0 when that is forgotten.
    double least(std::uint64_t since) const;

    /// @brief Takes @p tokens from the room of all steps after @p since.
    void lower(std::uint64_t since, double tokens);

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

    std::deque<Minimum> m_minima; ///< Steps and rooms both ascend.
    std::uint64_t m_lastStep = 0;
    std::uint64_t m_forgotten = 0; ///< Nothing is known up to this step.
};

} // namespace celeryroute
