#pragma once

#include <celeryroute/detail/agent/agenthooks.h>
#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/residency/membershipview.h>
#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/time.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Plans this host's grants before they are needed. Used by the agent's control thread.
class AuthorityControl
{
public:
    AuthorityControl(const AgentSettings &settings, const AgentHooks &hooks);

    /// @brief Sets the host list after a successful read. Thread-safe.
    void setHosts(std::vector<HostEntry> hosts);
    /// @brief Proposes the changes that are due. @p heldItems are the items in the target's memory.
    void step(const std::set<std::string> &heldItems, TimePoint now);

private:
    void applyNewHosts(TimePoint now);
    std::set<std::string> holderHosts(const FleetState &state) const;

    const AgentSettings &m_settings;
    const AgentHooks &m_hooks;
    MembershipView m_membership;
    absl::Mutex m_mutex;
    std::optional<std::vector<HostEntry>> m_newHosts ABSL_GUARDED_BY(m_mutex);
    TimePoint m_nextPlan;
    std::uint64_t m_proposedAt = 0; ///< Log offset of the state on which the last proposal was based.
    TimePoint m_nextRepeat;
};

} // namespace celeryroute
