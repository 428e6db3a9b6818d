#pragma once

#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// @brief Decides until when calls with keys may be admitted based on the last known desired state.
///
/// All times must come from a clock that also runs while the process is suspended, so that a suspended
/// process finds its keys stale when it resumes.
class KeyFreshness
{
public:
    /// @param keyRevocation longest time from the revocation of a key until its calls are refused
    explicit KeyFreshness(Duration keyRevocation);

    /// @brief Changes the revocation bound. A shorter one applies at once, a longer one only to reads that
    /// begin from @p now on, so that a revocation takes effect within the bound at the time it was made.
    void useRevocationBound(Duration keyRevocation, TimePoint now);

    /// @brief Records that the known state includes everything that the store held at @p readBegan.
    void confirm(TimePoint readBegan);

    /// @brief Time up to which the state was last confirmed.
    std::optional<TimePoint> confirmedAt() const;
    /// @brief How long a confirmation by a read that begins now is valid.
    Duration validity() const;
    /// @brief The time from which keyed calls are refused; nothing before the first confirmation.
    std::optional<TimePoint> validUntil() const;
    /// @brief Whether keyed calls may be sent. Must be checked again right before a call is sent to its target.
    bool areKeyedCallsAllowed(TimePoint now) const;

private:
    Duration m_validity;
    Duration m_earlierValidity; ///< Validity of reads that began before m_validFrom.
    TimePoint m_validFrom = TimePoint::min(); ///< m_validity applies to reads that began from this time on.
    std::optional<TimePoint> m_confirmed;
    TimePoint m_until = TimePoint::min(); ///< Keyed calls are refused from this time on.
};

} // namespace celeryroute
