#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/result.h>

#include <optional>
#include <string>

namespace celeryroute {

constexpr const char *DeadlineHeader = "x-deadline-ms";
constexpr const char *IdempotencyKeyHeader = "idempotency-key";
constexpr const char *RouteHeader = "x-route";

/// @brief The value of header @p name (lower case), or an empty string.
std::string headerValue(const HttpRequest &request, const std::string &name);

/// @brief The time limit in the caller's deadline header, if any. Fails with DeadlineInvalid.
Result<std::optional<Duration>> readDeadline(const HttpRequest &request);

/// @brief The caller's idempotency key, or an empty string. Fails with RequestMalformed when it is too
/// long or has unprintable characters.
Result<std::string> readIdempotencyKey(const HttpRequest &request);

} // namespace celeryroute
