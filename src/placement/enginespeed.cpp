#include <celeryroute/detail/placement/enginespeed.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr double InitialSecondsPerToken = 1.0 / 30000; // Seconds per token, before anything is observed.
constexpr double MaxDeviationFactor = 20; // The estimate stays within this factor of InitialSecondsPerToken.
constexpr double ObservationWeight = 0.05;
constexpr double MinSlopeWeight = 0.3; // Total weight of observations from which on the slope is used.
constexpr double MinTokenDeviation =
    200; // Tokens; standard deviation below which the sizes are too similar for a slope.

} // namespace

EngineSpeed::EngineSpeed()
    : m_secondsPerToken(InitialSecondsPerToken)
{}

void EngineSpeed::add(std::uint64_t uncachedTokens, double seconds)
{
    const auto tokens = static_cast<double>(uncachedTokens);
    const double share = m_weight == 0 ? 1 : ObservationWeight;
    const double tokensOff = tokens - m_meanTokens;
    const double secondsOff = seconds - m_meanSeconds;
    m_meanTokens += share * tokensOff;
    m_meanSeconds += share * secondsOff;
    if (m_weight > 0) {
        m_varTokens = (1 - share) * (m_varTokens + share * tokensOff * tokensOff);
        m_covariance = (1 - share) * (m_covariance + share * tokensOff * secondsOff);
    }
    m_weight = std::min(1.0, m_weight + ObservationWeight);
    if (m_weight >= MinSlopeWeight && m_varTokens > MinTokenDeviation * MinTokenDeviation) {
        m_secondsPerToken = std::clamp(m_covariance / m_varTokens,
                                       InitialSecondsPerToken / MaxDeviationFactor,
                                       InitialSecondsPerToken * MaxDeviationFactor);
    }
}

double EngineSpeed::firstEvent(std::uint64_t uncachedTokens) const
{
    return base() + prefill(static_cast<double>(uncachedTokens));
}

double EngineSpeed::prefill(double tokens) const
{
    return tokens * m_secondsPerToken;
}

double EngineSpeed::base() const
{
    return std::max(0.0, m_meanSeconds - m_meanTokens * m_secondsPerToken);
}

} // namespace celeryroute
