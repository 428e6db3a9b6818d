#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/resultcode.h>

#include <string>

namespace celeryroute {

/// @brief The JSON answer for a refused request, with the HTTP status of @p code.
///
/// `{"error": {"code", "type", "message", "run"}}`; @p run says truthfully whether the request ran.
HttpResponse errorResponse(ResultCode code, const std::string &message, RunState run);

} // namespace celeryroute
