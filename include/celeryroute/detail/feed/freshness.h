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

    /// @brief The state at hand holds everything that the store held at @p readBegan.
    void confirm(TimePoint readBegan);

    /// @brief Time up to which the state was last confirmed.
    std::optional<TimePoint> confirmedAt() const;
    /// @brief How long a confirmation lasts.
    Duration validity() const;
    /// @brief The time from which keyed calls are refused; nothing before the first confirmation.
    std::optional<TimePoint> validUntil() const;
    /// @brief To be asked again right before a call is written to its target.
    bool keyedCallsAllowed(TimePoint now) const;

private:
    Duration m_validity;
    std::optional<TimePoint> m_confirmed;
};

} // namespace celeryroute
