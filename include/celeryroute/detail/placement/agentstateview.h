#pragma once

#include <celeryroute/detail/placement/targetview.h>

namespace celeryroute {

namespace wire {
class AgentState;
} // namespace wire

/// @brief Converts a state message of an agent to a view of its target.
TargetView toTargetView(const wire::AgentState &state);

} // namespace celeryroute
