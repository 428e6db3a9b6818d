#include <celeryroute/detail/node/readinessserver.h>

#include <celeryroute/detail/gateway/httpstatus.h>

namespace celeryroute {

namespace {

constexpr std::size_t MaxConnections = 8;
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{16} * 1024;

} // namespace

ReadinessServer::ReadinessServer(EventLoop &loop, std::string path, std::function<bool()> ready, OtherPath otherPath)
    : m_path(std::move(path))
    , m_ready(std::move(ready))
    , m_otherPath(std::move(otherPath))
    , m_server(loop, *this)
{
    m_limits.bodyBytes = MaxBodyBytes;
    m_server.limitDescriptors(MaxConnections, [] { return std::size_t{0}; });
}

Result<void> ReadinessServer::listen(const Endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void ReadinessServer::callerRequest(CallerConnection &connection, CallerRequest request)
{
    if (request.head.target == m_path) {
        connection.answer({m_ready() ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, {}, {}}, {});
        return;
    }
    const auto body = m_otherPath(request.head.target);
    if (!body) {
        connection.answer({HttpStatus::NotFound, {}, {}}, {});
        return;
    }
    connection.answer({HttpStatus::Ok, {}, {{"Content-Type", "text/plain; version=0.0.4"}}}, *body);
}

void ReadinessServer::connectionEnded(CallerConnection &connection)
{
    m_server.discard(connection);
}

} // namespace celeryroute
