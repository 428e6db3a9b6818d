#pragma once

#include <celeryroute/detail/placement/targetload.h>
#include <celeryroute/detail/placement/targetview.h>

namespace celeryroute {

namespace wire {
class AgentLoad;
class AgentState;
} // namespace wire

/// @brief Converts a state message of an agent to a view of its target.
TargetView toTargetView(const wire::AgentState &state);

/// @brief Converts a load message of an agent.
TargetLoad toTargetLoad(const wire::AgentLoad &load);

} // namespace celeryroute
