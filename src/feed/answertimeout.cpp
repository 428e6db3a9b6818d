#include <celeryroute/detail/feed/answertimeout.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr int TimeoutPerLatency = 2;
// After a timeout, the peak latency is raised to at least this fraction of the timeout.
constexpr int TimeoutShareNumerator = 3;
constexpr int TimeoutShareDenominator = 4;
// The peak latency decays to this fraction with each faster answer.
constexpr int DecayNumerator = 9;
constexpr int DecayDenominator = 10;

} // namespace

AnswerTimeout::AnswerTimeout(Duration min, Duration max)
    : m_min(min)
    , m_max(std::max(min, max))
{}

void AnswerTimeout::useLimits(Duration min, Duration max)
{
    m_min = min;
    m_max = std::max(min, max);
}

void AnswerTimeout::answeredAfter(Duration latency)
{
    m_peakLatency = std::max(latency, m_peakLatency * DecayNumerator / DecayDenominator);
}

void AnswerTimeout::timedOut()
{
    // The answer may be slow or lost: the timeout grows in case it is slow, but stays bounded in case it is lost.
    m_peakLatency = std::max(m_peakLatency, timeout() * TimeoutShareNumerator / TimeoutShareDenominator);
}

Duration AnswerTimeout::timeout() const
{
    return std::clamp(m_peakLatency * TimeoutPerLatency, m_min, m_max);
}

} // namespace celeryroute
