#pragma once

#include <celeryroute/detail/placement/relaxingmean.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// How one target answers, as this entry sees it.
class TargetHealth
{
public:
    enum class Standing {
        Good,
        Probe, ///< May get a single call.
        Shunned,
    };

    TargetHealth();

    /// @brief An answer came; @p usual is the failed share of the whole pool.
    void noteAnswer(bool failed, double usual, TimePoint now);
    /// @brief It refused the connection, broke it, or went silent.
    void noteUnreachable(TimePoint now);
    void noteSent(TimePoint now);
    /// @brief A call ended without saying anything about the target.
    void noteAbandoned();

    Standing standing(TimePoint now) const;
    /// @brief Since when it is not in good standing.
    std::optional<TimePoint> shunnedSince() const
    {
        return m_backoff > Duration::zero() ? std::optional(m_shunnedSince) : std::nullopt;
    }
    /// @brief Until the next probe may go.
    Duration shunnedFor(TimePoint now) const;
    /// @brief Share of its usual calls that it should get, above 0 and at most 1.
    double trust(double usual, TimePoint now) const;

private:
    RelaxingMean m_failures;
    Duration m_backoff{}; ///< 0 while it is in good standing.
    TimePoint m_shunnedSince;
    TimePoint m_probeAt;
    bool m_probing = false;
    TimePoint m_probeSent;
};

} // namespace celeryroute
