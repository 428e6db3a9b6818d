#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/error.h>

#include <string>

namespace celeryroute {

/// A refusal or failure as it is reported to the caller.
struct CallRefusal {
    Error error;
    RunState run = RunState::NotRun;
    Duration retryAfter = Duration::zero(); ///< Zero if waiting does not help.
    bool operator==(const CallRefusal &) const = default;
};

/// @brief The JSON object that describes @p refusal; see docs/ERRORS.md.
std::string refusalJson(const CallRefusal &refusal, const std::string &requestId);

/// @brief A complete HTTP response with status, `Retry-After` and body.
HttpResponse refusalResponse(const CallRefusal &refusal, const std::string &requestId);

/// @brief The last event of a stream that failed after its head was sent.
std::string refusalEvent(const CallRefusal &refusal, const std::string &requestId);

} // namespace celeryroute
