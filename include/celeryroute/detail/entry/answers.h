#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/error.h>

#include <string>

namespace celeryroute {

/// A refusal or failure as the caller is told of it.
struct Refusal {
    Error error;
    RunState run = RunState::NotRun;
    Duration retryAfter = Duration::zero(); ///< Zero when there is nothing to wait for.
    bool operator==(const Refusal &) const = default;
};

/// @brief The JSON object that describes @p refusal; see docs/ERRORS.md.
std::string refusalJson(const Refusal &refusal, const std::string &requestId);

/// @brief A whole answer with status, `Retry-After` and body.
HttpResponse refusalResponse(const Refusal &refusal, const std::string &requestId);

/// @brief The last event of a stream that failed after its head was sent.
std::string refusalEvent(const Refusal &refusal, const std::string &requestId);

} // namespace celeryroute
