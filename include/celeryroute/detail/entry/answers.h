#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/error.h>

#include <string>

namespace celeryroute {

/// A refusal or failure as the caller is told of it.
struct CallRefusal {
    Error error;
    RunState run = RunState::NotRun;
    Duration retryAfter = Duration::zero(); ///< Zero when there is nothing to wait for.
    bool operator==(const CallRefusal &) const = default;
};

/// @brief The JSON object that describes @p refusal; see docs/ERRORS.md.
std::string refusalJson(const CallRefusal &refusal, const std::string &requestId);

/// @brief A whole answer with status, `Retry-After` and body.
HttpResponse refusalResponse(const CallRefusal &refusal, const std::string &requestId);

/// @brief The last event of a stream that failed after its head was sent.
std::string refusalEvent(const CallRefusal &refusal, const std::string &requestId);

} // namespace celeryroute
