#pragma once

#include <celeryroute/detail/placement/targetview.h>

namespace celeryroute {

namespace wire {
class AgentState;
} // namespace wire

/// @brief The view that @p state carries.
TargetView viewOf(const wire::AgentState &state);

} // namespace celeryroute
