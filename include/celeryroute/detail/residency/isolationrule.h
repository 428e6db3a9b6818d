#pragma once

#include <celeryroute/detail/residency/loadcontroller.h>
#include <celeryroute/time.h>

namespace celeryroute {

/// @brief Decides how far an agent may rely on its grants while it hears nothing.
///
/// The platform's log may have given them to others meanwhile; MembershipView::GoneAfter is well
/// above UnloadAfter, so that this agent has stopped before another begins.
class IsolationRule
{
public:
    static constexpr Duration NoLoadsAfter = std::chrono::seconds(10);
    static constexpr Duration UnloadAfter = std::chrono::seconds(20);
    /// A longer gap between two steps is a pause of the process.
    static constexpr Duration PauseLimit = std::chrono::seconds(3);
    /// After a pause, time for the state to catch up before anything is loaded.
    static constexpr Duration RevalidationTime = std::chrono::seconds(1);

    explicit IsolationRule(TimePoint now);

    /// @brief The log was heard, or a peer that knew its state to be the newest at @p confirmedAt.
    void heard(TimePoint confirmedAt, TimePoint now);
    AuthorityTrust step(TimePoint now);

private:
    TimePoint m_lastHeard;
    TimePoint m_lastStep;
    TimePoint m_revalidatedAt;
};

} // namespace celeryroute
