#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// @brief Adaptive timeout, derived from the slowest recent answers.
class AnswerPatience
{
public:
    AnswerPatience(Duration least, Duration most);

    void useLimits(Duration least, Duration most);
    void answeredAfter(Duration latency);
    void timedOut();
    Duration patience() const;

private:
    Duration m_least;
    Duration m_most;
    Duration m_slowest{};
};

} // namespace celeryroute
