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

/// @brief The call to the target for an attempt; carries nothing of the caller but its customer.
/// @param resumeFrom events of the stream that were already received; 0 for a new call.
HttpCall targetRequest(const AgentSettings &settings,
                       PoolKind kind,
                       const proto::SubmitRequest &submit,
                       std::uint64_t resumeFrom);

/// @brief The call that makes an engine stop an attempt.
HttpCall targetCancelRequest(const AgentSettings &settings, const std::string &attemptId);

/// @brief The call that shows whether the target is alive.
HttpCall targetProbeRequest(const AgentSettings &settings, PoolKind kind);

} // namespace celeryroute
