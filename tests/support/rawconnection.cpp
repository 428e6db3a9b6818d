#include "rawconnection.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr long HangGuardSeconds = 60;

} // namespace

RawConnection::RawConnection(std::uint16_t port)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const timeval guard{HangGuardSeconds, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof guard);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        closeNow();
    }
}

RawConnection::~RawConnection()
{
    closeNow();
}

bool RawConnection::connected() const
{
    return m_socket >= 0;
}

bool RawConnection::send(const std::string &bytes) const
{
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

std::string RawConnection::receiveUntil(const std::string &text)
{
    std::string received;
    std::array<char, 65536> buffer{};
    std::size_t searched = 0;
    while (received.find(text, searched) == std::string::npos) {
        searched = received.size() < text.size() ? 0 : received.size() - text.size();
        const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return received;
}

bool RawConnection::closedByPeer()
{
    std::array<char, 4096> buffer{};
    while (true) {
        const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count == 0) {
            return true;
        }
        if (count < 0) {
            return errno == ECONNRESET;
        }
    }
}

bool RawConnection::readable() const
{
    pollfd wait{m_socket, POLLIN, 0};
    return poll(&wait, 1, 0) > 0;
}

void RawConnection::closeNow()
{
    if (m_socket >= 0) {
        close(m_socket);
        m_socket = -1;
    }
}

} // namespace celeryroute
