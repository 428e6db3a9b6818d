#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Exponentially weighted moving average that returns to a prior value while nothing is observed.
class DecayingMean
{
public:
    /// @brief Each observation has @p weight; without new ones, the mean reaches the prior value after @p memory.
    DecayingMean(double weight, Duration memory);
    /// @brief Observations above the mean have the weight @p rise, those below it @p fall.
    DecayingMean(double rise, double fall, Duration memory);

    /// @brief Adds @p value; @p prior is the mean if nothing was observed for long.
    void add(double value, double prior, TimePoint now);
    /// @brief The mean at @p now; @p prior without recent observations.
    double value(double prior, TimePoint now) const;

private:
    double m_rise;
    double m_fall;
    Duration m_memory;
    double m_mean = 0;
    bool m_seen = false;
    TimePoint m_last;
};

} // namespace celeryroute
