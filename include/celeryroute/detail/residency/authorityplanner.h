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

/// What one agent knows when it plans.
struct PlannerInput {
    std::string pool;
    std::string host; ///< Of the planning agent.
    std::string incarnation;
    std::vector<PlacementHost> hosts; ///< Live agents of the pool.
    std::set<std::string> goneHosts; ///< Dropped from the host list for long enough.
    std::set<std::string> heldItems; ///< Items in the memory of this agent's target.
    bool leaving = false; ///< This host is drained or leaving.
};

/// @brief The changes of authority that this agent proposes for itself.
///
/// Pure. Each agent proposes only grants to itself, revocations of its own grants and the expiry of
/// holders that are gone, so that agents need to know nothing of each other but the host list; the
/// fold settles races. At most MaxPlannedItems items.
proto::AuthorityChange planAuthority(const FleetState &state, const PlannerInput &input);

constexpr std::size_t MaxPlannedItems = 500;
/// Grants that one plan may give up to rebalance the pool.
constexpr std::size_t MaxMovesPerPlan = 8;

} // namespace celeryroute
