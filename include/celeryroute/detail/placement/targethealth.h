#pragma once

#include <celeryroute/detail/placement/decayingmean.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// Health of one target as this entry sees it: its failure rate, and ejection with exponential backoff.
class TargetHealth
{
public:
    enum class State {
        Healthy,
        ProbeDue, ///< The backoff has passed; the target may get a single call.
        Ejected, ///< Gets no calls.
    };

    TargetHealth();

    /// @brief Records an answer; @p poolFailureRate is the failure rate of the whole pool.
    void noteAnswer(bool failed, double poolFailureRate, TimePoint now);
    /// @brief Records that the target refused or broke the connection or went silent.
    void noteUnreachable(TimePoint now);
    /// @brief Records that a call was sent; to an ejected target it is a probe.
    void noteSent(TimePoint now);
    /// @brief Records a call whose outcome shows nothing about the health of the target.
    void noteAbandoned();

    State state(TimePoint now) const;
    /// @brief Start of the current ejection; empty if the target is not ejected.
    std::optional<TimePoint> ejectedSince() const
    {
        return m_backoff > Duration::zero() ? std::optional(m_ejectedSince) : std::nullopt;
    }
    /// @brief Time until the next probe may be sent.
    Duration ejectedFor(TimePoint now) const;
    /// @brief Share of its usual calls that the target should get, above 0 and at most 1.
    double trafficShare(double poolFailureRate, TimePoint now) const;

private:
    DecayingMean m_failures;
    Duration m_backoff{}; ///< 0 while the target is not ejected.
    TimePoint m_ejectedSince;
    TimePoint m_probeAt;
    bool m_probing = false;
    TimePoint m_probeSent;
};

} // namespace celeryroute
