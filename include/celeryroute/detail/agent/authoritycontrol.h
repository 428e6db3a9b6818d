#pragma once

#include <celeryroute/detail/agent/agenthooks.h>
#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/residency/membershipview.h>
#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/time.h>

#include <set>
#include <string>

namespace celeryroute {

/// @brief Plans this host's grants ahead of need; owned by the agent's control thread.
class AuthorityControl
{
public:
    AuthorityControl(const AgentSettings &settings, const AgentHooks &hooks);

    /// @brief Proposes what is due; @p heldItems are in the target's memory.
    void step(const std::set<std::string> &heldItems, TimePoint now);

private:
    std::set<std::string> holderHosts(const FleetState &state) const;

    const AgentSettings &m_settings;
    const AgentHooks &m_hooks;
    MembershipView m_membership;
    TimePoint m_nextPlan;
    std::uint64_t m_proposedAt = 0; ///< Log offset of the state of the last proposal.
    TimePoint m_nextRepeat;
};

} // namespace celeryroute
