#pragma once

#include <celeryroute/detail/daemon/daemonsettings.h>
#include <celeryroute/detail/http/httpserver.h>

#include <string>

namespace celeryroute {

/// @brief The server settings for the `--listen` endpoint.
HttpServerSettings httpServerSettings(const DaemonSettings &settings);

/// @brief The endpoint `ip:port` that @p server has bound.
std::string boundEndpoint(const DaemonSettings &settings, const HttpServer &server);

} // namespace celeryroute
