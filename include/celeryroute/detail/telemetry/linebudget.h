#pragma once

#include <celeryroute/detail/telemetry/eventnames.h>
#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// Most lines of one event.
struct LineLimit {
    double burst = 0;
    double perSecond = 0;
    bool operator==(const LineLimit &) const = default;
};

/// @brief The limit for events of @p volume; at least one line a second for every event.
constexpr LineLimit lineLimit(LineVolume volume)
{
    switch (volume) {
    case LineVolume::Sampled:
        return {20, 5};
    case LineVolume::Failure:
        return {200, 100};
    case LineVolume::Decision:
    case LineVolume::Dependency:
        break;
    }
    return {50, 20};
}

/// @brief Token bucket for the lines of one event.
class LineBudget
{
public:
    /// @brief Takes room for one line, or counts it as left out.
    bool take(const LineLimit &limit, TimePoint now);
    /// @brief Lines left out since the last call of reported().
    std::uint64_t leftOut() const
    {
        return m_leftOut;
    }
    void reported()
    {
        m_leftOut = 0;
    }

private:
    double m_spent = 0; ///< Lines beyond what time has given back.
    TimePoint m_updated{};
    std::uint64_t m_leftOut = 0;
};

} // namespace celeryroute
