#pragma once

#include <celeryroute/detail/residency/placement.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

namespace proto {
class AuthorityChange;
}

/// Input of planAuthority() for one agent.
struct PlannerInput {
    std::string pool;
    std::string host; ///< Host of the planning agent.
    std::string incarnation;
    std::vector<PlacementHost> hosts; ///< Live agents of the pool.
    std::set<std::string> expiredHosts; ///< Hosts missing from the host list for MembershipView::ExpireAfter.
    std::set<std::string> heldItems; ///< Items in the memory of this agent's target.
    bool leaving = false; ///< This host is drained or leaving.
};

/// @brief Returns the changes of authority that this agent proposes, at most MaxPlannedItems items.
///
/// This is a pure function. Each agent proposes only grants to itself, revocations of its own grants and
/// the expiry of holders on expired hosts. Agents therefore need no information about each other except the
/// host list. Conflicting proposals are resolved when the log records are folded into the state.
proto::AuthorityChange planAuthority(const FleetState &state, const PlannerInput &input);

constexpr std::size_t MaxPlannedItems = 500;
/// Maximum number of grants that one plan revokes to rebalance the pool.
constexpr std::size_t MaxMovesPerPlan = 8;

} // namespace celeryroute
