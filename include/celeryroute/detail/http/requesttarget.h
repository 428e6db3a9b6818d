#pragma once

#include <celeryroute/detail/http/httpmessage.h>

#include <string>
#include <string_view>

namespace celeryroute {

/// @brief Decodes `%XX`; what is not such a code stays as it is.
std::string decodePercent(std::string_view text);

/// @brief Sets path and query of @p request from the target of its start line.
void readTarget(std::string_view target, HttpRequest &request);

} // namespace celeryroute
