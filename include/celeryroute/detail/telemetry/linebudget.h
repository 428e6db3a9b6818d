#pragma once

#include <celeryroute/detail/telemetry/eventnames.h>
#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// Rate limit for the log lines of one event.
struct LineLimit {
    double burst = 0;
    double perSecond = 0;
    bool operator==(const LineLimit &) const = default;
};

/// @brief The rate limit for events of the class @p volume. Every event may write at least one line a second.
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
    /// @brief Takes a token for one line. Without one, counts the line as omitted and returns false.
    bool tryTake(const LineLimit &limit, TimePoint now);
    /// @brief Number of lines omitted since the last call of resetLeftOut().
    std::uint64_t leftOut() const
    {
        return m_leftOut;
    }
    /// @brief Resets leftOut() after its number was logged.
    void resetLeftOut()
    {
        m_leftOut = 0;
    }

private:
    double m_spent = 0; ///< Tokens taken and not yet refilled.
    TimePoint m_updated{};
    std::uint64_t m_leftOut = 0;
};

} // namespace celeryroute
