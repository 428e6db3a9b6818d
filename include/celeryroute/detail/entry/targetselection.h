#pragma once

#include <celeryroute/detail/entry/agentlink.h>

#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The link with the least estimated wait for @p model; nullptr without candidates.
AgentLink *selectTarget(const std::vector<AgentLink *> &candidates,
                        const std::string &model,
                        const std::set<std::string> &triedHosts);

} // namespace celeryroute
