#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Exponentially weighted rate of the tokens that callers asked for, admitted or not.
class DemandRate
{
public:
    void add(double tokens, TimePoint now);

    /// @brief Tokens per second.
    double value(TimePoint now) const;

private:
    double m_rate = 0.0;
    TimePoint m_updated{};
};

} // namespace celeryroute
