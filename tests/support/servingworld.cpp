#include "servingworld.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr Duration LongestWait = std::chrono::milliseconds(10);
constexpr int MostIdleTurns = 1000;
constexpr int MostTurns = 1'000'000;

} // namespace

bool turnUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    int idle = 0;
    for (int turns = 0; turns < MostTurns && idle < MostIdleTurns; ++turns) {
        if (condition()) {
            return true;
        }
        const TimePoint before = loop.now();
        loop.turn(LongestWait);
        idle += loop.now() - before >= LongestWait ? 1 : 0;
    }
    return false;
}

// Loopback delivers within the system call that sends, so that some empty turns show that all is done.
void settle(EventLoop &loop)
{
    constexpr int Turns = 20;
    for (int turns = 0; turns < Turns; ++turns) {
        loop.turn(Duration::zero());
    }
}

RawCaller::RawCaller(EventLoop &loop, const Endpoint &endpoint, int receiveBuffer)
    : m_loop(loop)
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer > 0) {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.ip);
    m_ended = connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0;
}

RawCaller::~RawCaller()
{
    close();
}

void RawCaller::send(const std::string &bytes)
{
    std::size_t sent = 0;
    turnUntil(m_loop, [&] {
        const ssize_t step = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += step > 0 ? static_cast<std::size_t>(step) : 0;
        return sent == bytes.size() || (step < 0 && errno != EAGAIN);
    });
}

void RawCaller::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

void RawCaller::drain()
{
    std::array<char, 65536> buffer{};
    while (!m_ended) {
        const ssize_t received = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received > 0) {
            m_received.append(buffer.data(), static_cast<std::size_t>(received));
            continue;
        }
        if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        m_reset = received < 0;
        m_ended = true;
    }
}

const std::string &RawCaller::received()
{
    drain();
    return m_received;
}

bool RawCaller::ended()
{
    drain();
    return m_ended;
}

bool RawCaller::wasReset()
{
    drain();
    return m_reset;
}

bool RawCaller::waitFor(const std::string &text)
{
    return turnUntil(m_loop, [&] { return received().find(text) != std::string::npos; });
}

bool RawCaller::waitForEnd()
{
    return turnUntil(m_loop, [this] { return ended(); });
}

std::string bodyOf(const std::string &text)
{
    const std::size_t end = text.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : text.substr(end + 4);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

} // namespace celeryroute
