#pragma once

#include <celeryroute/detail/placement/relaxingmean.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// How the first events of a pool came lately, by the priority of their calls: more urgent calls
/// that come later go before the less urgent ones.
class PriorityDelays
{
public:
    PriorityDelays();

    /// @brief A first event took @p factor times as long as expected.
    void add(std::uint32_t priority, double factor, bool late, TimePoint now);

    /// @brief The usual factor; 1 while nothing was observed.
    double factor(std::uint32_t priority, TimePoint now) const;
    /// @brief Share of calls whose first event came later than they wanted.
    double lateShare(std::uint32_t priority, TimePoint now) const;

private:
    struct Delays {
        Delays();

        RelaxingMean factor;
        RelaxingMean late;
    };
    static constexpr std::size_t Ranks = 10;

    const Delays &of(std::uint32_t priority) const;

    std::array<Delays, Ranks> m_delays;
};

} // namespace celeryroute
