#pragma once

#include <cstdint>

namespace celeryroute {

/// Prefill speed of the engines of a pool, learned from the time to the first event of calls that
/// found no backlog.
class EngineSpeed
{
public:
    void add(std::uint64_t uncachedTokens, double seconds);

    /// @brief Seconds to the first event of a call that finds no backlog.
    double firstEvent(std::uint64_t uncachedTokens) const;
    /// @brief Seconds that @p tokens take to read.
    double prefill(double tokens) const;
    /// @brief Seconds to the first event beside the reading.
    double base() const;

private:
    // Weighted moments of (tokens, seconds).
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
