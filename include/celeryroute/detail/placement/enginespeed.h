#pragma once

#include <cstdint>

namespace celeryroute {

/// Prefill speed of the engines of a pool. It is estimated by linear regression of the time to the first event on
/// the uncached tokens, from calls that found no backlog.
class EngineSpeed
{
public:
    /// @brief Adds an observed time to the first event.
    void add(std::uint64_t uncachedTokens, double seconds);

    /// @brief Seconds to the first event of a call that finds no backlog.
    double firstEvent(std::uint64_t uncachedTokens) const;
    /// @brief Seconds that the prefill of @p tokens takes.
    double prefill(double tokens) const;
    /// @brief Seconds to the first event without the prefill.
    double base() const;

private:
    // Exponentially weighted moments of (tokens, seconds).
    double m_weight = 0;
    double m_meanTokens = 0;
    double m_meanSeconds = 0;
    double m_varTokens = 0;
    double m_covariance = 0;
    double m_secondsPerToken;

public:
    EngineSpeed();
};

} // namespace celeryroute
