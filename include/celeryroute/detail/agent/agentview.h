#pragma once

#include <celeryroute/detail/residency/granttable.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <cstdint>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief The part of the agreed state that concerns one agent; immutable.
struct AgentView {
    std::shared_ptr<const FleetState> state; ///< nullptr while there is none.
    std::shared_ptr<const PoolSpec> pool; ///< nullptr while the pool is not declared.
    std::shared_ptr<const GrantTable> grants; ///< nullptr while there is no state.
    bool drained = false; ///< The host gets no new work.

    std::uint64_t offset() const
    {
        return state ? state->nextOffset() : 0;
    }
};

/// @brief The view of host @p host's agent with @p incarnation in @p pool.
AgentView makeAgentView(std::shared_ptr<const FleetState> state,
                        const std::string &host,
                        const std::string &incarnation,
                        const std::string &pool);

} // namespace celeryroute
