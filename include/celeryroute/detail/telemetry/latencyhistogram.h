#pragma once

#include <celeryroute/detail/telemetry/expositiontext.h>
#include <celeryroute/time.h>

#include <array>
#include <cstdint>

namespace celeryroute {

/// @brief Histogram of durations with bucket bounds from 5 ms to 30 s, each about 1.5 times the one before.
class LatencyHistogram
{
public:
    static constexpr std::array BoundsSeconds{0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2,  0.3,
                                              0.5,   0.8,  1.2,  1.8,  2.5,  4.0,   6.0, 10.0, 15.0, 30.0};

    void observe(Duration duration);
    void expose(ExpositionText &text, const MetricLabel &label) const;

private:
    std::array<std::uint64_t, BoundsSeconds.size() + 1> m_counts{}; ///< The last one counts longer durations.
    double m_sum = 0;
};

} // namespace celeryroute
