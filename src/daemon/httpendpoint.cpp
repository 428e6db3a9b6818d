#include "httpendpoint.h"

namespace celeryroute {

HttpServerSettings httpServerSettings(const DaemonSettings &settings)
{
    const std::size_t colon = settings.listen.rfind(':');
    HttpServerSettings server;
    server.address = settings.listen.substr(0, colon);
    server.port = static_cast<std::uint16_t>(std::stoi(settings.listen.substr(colon + 1)));
    server.maxConnections = settings.maxConnections;
    server.maxBodyBytes = settings.maxBodyBytes;
    return server;
}

std::string boundEndpoint(const DaemonSettings &settings, const HttpServer &server)
{
    return settings.listen.substr(0, settings.listen.rfind(':') + 1) + std::to_string(server.port());
}

} // namespace celeryroute
