#pragma once

#include <celeryroute/detail/placement/relaxingmean.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Factors of the observed on the expected time to a first event, by priority: more urgent calls
/// that come later go before the less urgent ones.
class DelayFactors
{
public:
    DelayFactors();

    void add(std::uint32_t priority, double factor, TimePoint now);
    /// @brief The usual factor; 1 while nothing was observed.
    double usual(std::uint32_t priority, TimePoint now) const;

private:
    static constexpr std::size_t Ranks = 10;

    std::array<RelaxingMean, Ranks> m_factors;
};

} // namespace celeryroute
