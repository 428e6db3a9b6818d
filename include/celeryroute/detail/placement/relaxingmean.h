#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Exponentially weighted mean that falls back to a prior value while nothing is observed.
class RelaxingMean
{
public:
    /// @brief @p weight of one observation; @p memory is the time in which the mean falls back by 1 - 1/e.
    RelaxingMean(double weight, Duration memory);

    void add(double value, double prior, TimePoint now);
    double value(double prior, TimePoint now) const;

private:
    double m_weight;
    Duration m_memory;
    double m_mean = 0;
    bool m_seen = false;
    TimePoint m_last;
};

} // namespace celeryroute
