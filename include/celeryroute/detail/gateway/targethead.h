#pragma once

#include <celeryroute/detail/http1/callerconnection.h>
#include <celeryroute/detail/http1/messagehead.h>
#include <celeryroute/detail/serving/headernames.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// What an entry adds to a caller's request before it goes to a target.
struct TargetFields {
    std::string instance; ///< Target that may run it.
    std::string customer; ///< Empty without a key.
    Duration remaining{}; ///< Time that is left.
    std::uint32_t priority = 0;
    std::optional<std::string> weightsVersion; ///< A resumed stream goes on with these weights only.
    std::optional<std::string> lastEventId; ///< Resumes a stream after this event.
    std::size_t bodyLength = 0;
};

/// @brief The request head for a target: the caller's, less what concerns one connection, the key and
/// every field that only entries set.
std::string targetRequestHead(const MessageHead &caller, const TargetFields &added, const HeaderNames &names);

/// @brief The answer head for a caller: the target's, less what concerns one connection or the entry.
AnswerHead callerAnswerHead(MessageHead target, const HeaderNames &names);

} // namespace celeryroute
