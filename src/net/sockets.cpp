#include <celeryroute/detail/net/sockets.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr int Backlog = 512;

sockaddr_in toSockaddr(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.ip);
    return address;
}

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof(value));
}

Result<int> bound(int type, const Endpoint &endpoint)
{
    const int file = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setOption(file, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in address = toSockaddr(endpoint);
    if (file < 0 || bind(file, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const std::string reason = std::strerror(errno);
        if (file >= 0) {
            close(file);
        }
        return fail(ResultCode::PortUnavailable, "cannot bind " + toString(endpoint) + ": " + reason);
    }
    return file;
}

} // namespace

Result<int> listenTcp(const Endpoint &endpoint)
{
    BOOST_LEAF_AUTO(file, bound(SOCK_STREAM, endpoint));
    if (listen(file, Backlog) != 0) {
        close(file);
        return fail(ResultCode::PortUnavailable, "cannot listen at " + toString(endpoint));
    }
    return file;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

std::uint32_t peerIp(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    return getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0 ? ntohl(address.sin_addr.s_addr) : 0;
}

Result<int> bindUdp(const Endpoint &endpoint)
{
    return bound(SOCK_DGRAM, endpoint);
}

int beginConnect(const Endpoint &endpoint)
{
    const int file = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (file < 0) {
        return -1;
    }
    setOption(file, IPPROTO_TCP, TCP_NODELAY, 1);
    const sockaddr_in address = toSockaddr(endpoint);
    if (connect(file, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        close(file);
        return -1;
    }
    return file;
}

int acceptTcp(int listener)
{
    int file = -1;
    do {
        file = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    } while (file < 0 && (errno == EINTR || errno == ECONNABORTED));
    if (file >= 0) {
        setOption(file, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return file;
}

void limitSilence(int socket, Duration silence)
{
    constexpr int Probes = 2;
    const int seconds = std::max(1, static_cast<int>(toSeconds(silence)) / (Probes + 1));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, Probes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(toMilliseconds(silence)));
}

int takePendingError(int socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

} // namespace celeryroute
