#pragma once

#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/http1/messagehead.h>
#include <celeryroute/detail/serving/headernames.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// Values that an entry adds to a caller's request before it sends it to a target.
struct TargetFields {
    std::string instance; ///< Id of the target that may run the request.
    std::string customer; ///< Empty for calls without a key.
    Duration remaining{}; ///< Time until the deadline of the call.
    std::uint32_t priority = 0;
    std::optional<std::string> weightsVersion; ///< The only version of the weights that may resume the stream.
    std::optional<std::string> lastEventId; ///< Resumes a stream after this event.
    std::size_t bodyLength = 0;
};

/// @brief The request head for a target: the caller's fields without hop-by-hop fields, the key and
/// fields that only entries may set, plus @p added.
std::string targetRequestHead(const MessageHead &caller, const TargetFields &added, const HeaderNames &names);

/// @brief The answer head for a caller: the target's fields without hop-by-hop fields and fields meant for the entry.
AnswerHead callerAnswerHead(MessageHead target, const HeaderNames &names);

} // namespace celeryroute
