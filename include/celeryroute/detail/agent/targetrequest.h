#pragma once

#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/poolspec.h>

#include <cstdint>
#include <string>

namespace celeryroute {

namespace proto {
class SubmitRequest;
}

/// @brief Builds the HTTP call to the target for an attempt. Of the caller, only the customer is passed on.
/// @param resumeFrom Number of events of the stream that were already received; 0 for a new call.
HttpCall targetRequest(const AgentSettings &settings,
                       PoolKind kind,
                       const proto::SubmitRequest &submit,
                       std::uint64_t resumeFrom);

/// @brief Builds the HTTP call that cancels an attempt at an engine.
HttpCall targetCancelRequest(const AgentSettings &settings, const std::string &attemptId);

/// @brief Builds the HTTP call that checks whether the target is alive.
HttpCall targetProbeRequest(const AgentSettings &settings, PoolKind kind);

} // namespace celeryroute
