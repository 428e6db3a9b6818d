#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Exponentially weighted mean that falls back to a prior value while nothing is observed.
class RelaxingMean
{
public:
    /// @brief @p weight of one observation; within @p memory the mean falls back to the prior value.
    RelaxingMean(double weight, Duration memory);
    /// @brief With a weight of its own for observations below the mean.
    RelaxingMean(double rise, double fall, Duration memory);

    void add(double value, double prior, TimePoint now);
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
