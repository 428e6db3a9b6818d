#include <celeryroute/detail/net/tcpchannel.h>

#include <celeryroute/detail/net/sockets.h>

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr std::size_t ReadSize = std::size_t{64} * 1024;
constexpr std::size_t KeptCapacity = std::size_t{16} * 1024; ///< A larger empty buffer is given back.

void releaseIfLarge(std::string &buffer)
{
    buffer.clear();
    if (buffer.capacity() > KeptCapacity) {
        std::string().swap(buffer);
    }
}

} // namespace

TcpChannel::TcpChannel(EventLoop &loop, int socket, Phase phase, ChannelUser &user)
    : m_loop(loop)
    , m_user(user)
    , m_socket(socket)
    , m_phase(phase)
    , m_events(phase == Phase::Connecting ? EPOLLOUT : EPOLLIN)
{
    m_loop.watch(m_socket, m_events, *this);
}

TcpChannel::~TcpChannel()
{
    m_loop.unwatch(m_socket);
    close(m_socket);
}

void TcpChannel::write(std::string_view bytes)
{
    m_output.append(bytes);
}

void TcpChannel::flush()
{
    while (m_phase == Phase::Open && !m_failed && unsent() > 0) {
        const ssize_t sent = send(m_socket, m_output.data() + m_outputBegin, unsent(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EINTR) {
                continue;
            }
            // A broken channel is reported by its next readiness, never from within flush().
            m_failed = errno != EAGAIN && errno != EWOULDBLOCK;
            break;
        }
        m_sent += static_cast<std::size_t>(sent);
        m_outputBegin += static_cast<std::size_t>(sent);
    }
    if (unsent() == 0) {
        m_outputBegin = 0;
        releaseIfLarge(m_output);
        if (m_finishing && m_phase == Phase::Open) {
            shutdown(m_socket, SHUT_WR);
        }
    }
    updateEvents();
}

void TcpChannel::finishOutput()
{
    m_finishing = true;
    flush();
}

void TcpChannel::setReading(bool reading)
{
    m_reading = reading;
    updateEvents();
}

// Otherwise the system goes on sending what it holds after the close, for as long as a broken link lasts.
void TcpChannel::discardOnClose()
{
    const linger reset{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

std::size_t TcpChannel::unconfirmed() const
{
    int held = 0;
    return unsent() + (ioctl(m_socket, SIOCOUTQ, &held) == 0 ? static_cast<std::size_t>(held) : 0);
}

bool TcpChannel::stirred() const
{
    char byte = 0;
    const ssize_t peeked = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void TcpChannel::updateEvents()
{
    std::uint32_t wanted = EPOLLOUT;
    if (m_phase == Phase::Open) {
        wanted = m_reading ? EPOLLIN : 0U;
        if (unsent() > 0) {
            wanted |= EPOLLOUT;
        }
    }
    if (wanted != m_events) {
        m_events = wanted;
        m_loop.change(m_socket, wanted);
    }
}

void TcpChannel::fileReady(std::uint32_t events)
{
    if (m_phase == Phase::Connecting) {
        finishConnect();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
        if (unsent() == 0) {
            m_user.channelDrained();
        }
    }
    if (m_reading || (events & (EPOLLERR | EPOLLHUP)) != 0) {
        receive();
    }
}

void TcpChannel::finishConnect()
{
    if (connectError(m_socket) != 0) {
        fail(true);
        return;
    }
    m_phase = Phase::Open;
    flush();
    m_user.channelConnected();
}

void TcpChannel::receive()
{
    thread_local std::array<char, ReadSize> buffer;
    const ssize_t received = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (received > 0) {
        m_input.append(buffer.data(), static_cast<std::size_t>(received));
        m_user.channelReceived();
        return;
    }
    if (received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
        // The system reports a reset once. If a write got the report, the next read looks like an orderly end.
        fail(received < 0 || m_failed);
    }
}

void TcpChannel::fail(bool reset)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    // Without this, a peer's close would be reported again at every turn until the user destroys the channel.
    m_reading = false;
    m_failed = true;
    m_output.clear();
    m_outputBegin = 0;
    m_loop.change(m_socket, m_events = 0);
    m_user.channelClosed(reset);
}

} // namespace celeryroute
