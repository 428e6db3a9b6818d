#pragma once

#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// @brief Decides until when calls with keys may be admitted on the desired state at hand.
///
/// A process that stood still sees it by the present time, which must count such pauses.
class Freshness
{
public:
    /// @param keyRevocation a withdrawn key stops working within this.
    explicit Freshness(Duration keyRevocation);

    /// @brief Puts another bound in force. A shorter one counts at once; a longer one for what is read
    /// from @p now on, so that nothing lasts longer than it was promised.
    void useBound(Duration keyRevocation, TimePoint now);

    /// @brief The state at hand holds everything that the store held at @p readBegan.
    void confirm(TimePoint readBegan);

    /// @brief Time up to which the state was last confirmed.
    std::optional<TimePoint> confirmedAt() const;
    /// @brief How long a confirmation lasts from now on.
    Duration validity() const;
    /// @brief The time from which keyed calls are refused; nothing before the first confirmation.
    std::optional<TimePoint> validUntil() const;
    /// @brief To be asked again right before a call is written to its target.
    bool keyedCallsAllowed(TimePoint now) const;

private:
    Duration m_validity;
    Duration m_earlierValidity; ///< Of reads that began before m_validFrom.
    TimePoint m_validFrom = TimePoint::min();
    std::optional<TimePoint> m_confirmed;
    TimePoint m_until = TimePoint::min(); ///< Keyed calls are refused from here on.
};

} // namespace celeryroute
