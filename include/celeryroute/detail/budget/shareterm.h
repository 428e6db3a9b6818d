#pragma once

#include <celeryroute/time.h>

#include <chrono>
#include <cstdint>

namespace celeryroute {

/// How long after its last confirmation a share may be spent.
constexpr Duration ShareValidity = std::chrono::seconds(3);
/// How long an entry waits before it uses what a new division gives it beyond what it held; above
/// ShareValidity by more than two clocks drift apart meanwhile.
constexpr Duration ShareHandover = std::chrono::seconds(4);

/// One entry's part of a division of all budgets, as read from the log.
struct ShareGrant {
    std::uint64_t epoch = 0; ///< Log offset of the division.
    std::uint64_t baseEpoch = 0; ///< Epoch that it replaces.
    double fraction = 0.0; ///< Of every customer's rate and burst.
    bool operator==(const ShareGrant &) const = default;
};

/// Which division an entry is under, and whether it may still spend from it.
///
/// An entry spends only within ShareValidity after it last knew the division to be in force. A new
/// division is used in full ShareHandover after it was read: by then every entry that has not read
/// it has stopped.
class ShareTerm
{
public:
    /// @brief Enters the division of @p grant; false when it is not newer than the present one.
    bool adopt(const ShareGrant &grant, TimePoint now);

    /// @brief The present division was the newest one at @p at, e.g. when a read that found the
    /// log's head was begun.
    void confirm(TimePoint at);

    bool valid(TimePoint now) const;

    /// @brief Until when the share may be spent without a further confirmation.
    TimePoint validUntil() const;

    /// @brief Whether the handover from the previous division is over.
    bool handedOver(TimePoint now) const;

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
