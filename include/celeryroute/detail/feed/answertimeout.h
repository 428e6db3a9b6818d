#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// @brief Adaptive timeout, derived from the slowest recent answers.
class AnswerTimeout
{
public:
    AnswerTimeout(Duration min, Duration max);

    void useLimits(Duration min, Duration max);
    void answeredAfter(Duration latency);
    void timedOut();
    Duration timeout() const;

private:
    Duration m_min;
    Duration m_max;
    Duration m_peakLatency{};
};

} // namespace celeryroute
