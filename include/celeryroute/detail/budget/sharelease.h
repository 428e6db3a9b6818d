#pragma once

#include <celeryroute/time.h>

#include <chrono>
#include <cstdint>

namespace celeryroute {

/// Time after its last confirmation during which a share may be spent.
constexpr Duration ShareValidity = std::chrono::seconds(3);
/// Time an entry waits before it uses the additional share of a new division. It exceeds ShareValidity by
/// more than the clocks of two entries drift apart in this time.
constexpr Duration ShareHandover = std::chrono::seconds(4);

/// Share of one entry in a division of all budgets, as read from the log.
struct ShareGrant {
    std::uint64_t epoch = 0; ///< Log offset of the division.
    std::uint64_t baseEpoch = 0; ///< Epoch of the division that it replaces.
    double fraction = 0.0; ///< Fraction of every customer's rate and burst.
    bool operator==(const ShareGrant &) const = default;
};

/// Tracks the current division of an entry and whether the entry may still spend its share.
///
/// An entry spends only within ShareValidity after the last confirmation of its division. A new division is
/// used in full ShareHandover after it was read. By then every entry that has not read it has stopped
/// spending.
class ShareLease
{
public:
    /// @brief Applies the division of @p grant. Returns false if it is not newer than the current one.
    bool applyDivision(const ShareGrant &grant, TimePoint now);

    /// @brief Records that the current division was the newest one at @p at, e.g. the start of a read that
    /// reached the end of the log.
    void confirm(TimePoint at);

    /// @brief Whether the share may be spent at @p now.
    bool isValid(TimePoint now) const;

    /// @brief Time until which the share may be spent without a further confirmation.
    TimePoint validUntil() const;

    /// @brief Whether the handover from the previous division has ended.
    bool isHandoverComplete(TimePoint now) const;

    TimePoint handoverEnd() const
    {
        return m_handoverEnd;
    }
    std::uint64_t epoch() const
    {
        return m_grant.epoch;
    }
    double fraction() const
    {
        return m_grant.fraction;
    }

private:
    ShareGrant m_grant;
    TimePoint m_handoverEnd{};
    TimePoint m_confirmed = TimePoint::min();
};

} // namespace celeryroute
