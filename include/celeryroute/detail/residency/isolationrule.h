#pragma once

#include <celeryroute/detail/residency/loadcontroller.h>
#include <celeryroute/time.h>

namespace celeryroute {

/// @brief Decides how far an agent may rely on its grants while it receives no state updates.
///
/// The platform's log may have granted the items to other hosts in the meantime. MembershipView::ExpireAfter
/// is well above UnloadAfter, so that this agent has stopped using a grant before another host receives it.
class IsolationRule
{
public:
    static constexpr Duration NoLoadsAfter = std::chrono::seconds(10);
    static constexpr Duration UnloadAfter = std::chrono::seconds(20);
    /// A longer time between two calls of step() means that the process was paused.
    static constexpr Duration PauseLimit = std::chrono::seconds(3);
    /// Time after a pause in which the state catches up and nothing is loaded.
    static constexpr Duration RevalidationTime = std::chrono::seconds(1);

    explicit IsolationRule(TimePoint now);

    /// @brief Records contact with the log, or with a peer whose state was the newest at @p confirmedAt.
    void recordContact(TimePoint confirmedAt, TimePoint now);
    /// @brief Returns how far the grants may be relied on at @p now. Call it at least every PauseLimit.
    AuthorityTrust step(TimePoint now);

private:
    TimePoint m_lastContact;
    TimePoint m_lastStep;
    TimePoint m_revalidatedAt;
};

} // namespace celeryroute
