#pragma once

#include <celeryroute/detail/residency/granttable.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <cstdint>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief Immutable view of the part of the replicated state that concerns one agent.
struct AgentView {
    std::shared_ptr<const FleetState> state; ///< nullptr while there is none.
    std::shared_ptr<const PoolSpec> pool; ///< nullptr while the pool is not declared.
    std::shared_ptr<const GrantTable> grants; ///< nullptr while there is no state.
    bool drained = false; ///< Whether the host is drained and gets no new work.

    std::uint64_t offset() const
    {
        return state ? state->nextOffset() : 0;
    }
};

/// @brief Returns the view for the agent on @p host with @p incarnation in @p pool.
AgentView makeAgentView(std::shared_ptr<const FleetState> state,
                        const std::string &host,
                        const std::string &incarnation,
                        const std::string &pool);

} // namespace celeryroute
