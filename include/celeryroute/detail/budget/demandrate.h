#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Exponentially weighted moving average of the rate of requested tokens, whether admitted or not.
class DemandRate
{
public:
    void add(double tokens, TimePoint now);

    /// @brief Rate in tokens per second.
    double value(TimePoint now) const;

private:
    double m_rate = 0.0;
    TimePoint m_updated{};
};

} // namespace celeryroute
