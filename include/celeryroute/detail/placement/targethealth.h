#pragma once

#include <celeryroute/detail/placement/relaxingmean.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// Health of one target as this entry sees it: its failure rate, and ejection with exponential backoff.
class TargetHealth
{
public:
    enum class Standing {
        Good,
        Probe, ///< The backoff has passed; the target may get a single call.
        Shunned, ///< Gets no calls.
    };

    TargetHealth();

    /// @brief Records an answer; @p usual is the failure rate of the whole pool.
    void noteAnswer(bool failed, double usual, TimePoint now);
    /// @brief Records that the target refused or broke the connection or went silent.
    void noteUnreachable(TimePoint now);
    /// @brief Records that a call was sent; to an ejected target it is a probe.
    void noteSent(TimePoint now);
    /// @brief Records a call whose end says nothing about the target.
    void noteAbandoned();

    Standing standing(TimePoint now) const;
    /// @brief Start of the current ejection; empty if the target is not ejected.
    std::optional<TimePoint> shunnedSince() const
    {
        return m_backoff > Duration::zero() ? std::optional(m_shunnedSince) : std::nullopt;
    }
    /// @brief Time until the next probe may be sent.
    Duration shunnedFor(TimePoint now) const;
    /// @brief Share of its usual calls that the target should get, above 0 and at most 1.
    double trust(double usual, TimePoint now) const;

private:
    RelaxingMean m_failures;
    Duration m_backoff{}; ///< 0 while the target is not ejected.
    TimePoint m_shunnedSince;
    TimePoint m_probeAt;
    bool m_probing = false;
    TimePoint m_probeSent;
};

} // namespace celeryroute
