#include <celeryroute/detail/net/tcpchannel.h>

#include <celeryroute/detail/base/compactbuffer.h>
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
    takeIn();
    m_output.append(bytes);
}

void TcpChannel::write(std::shared_ptr<const std::string> bytes)
{
    takeIn();
    m_shared = std::move(bytes);
}

// Only the last bytes of the output can be shared ones.
void TcpChannel::takeIn()
{
    if (m_shared != nullptr) {
        m_output.append(*m_shared, m_sharedBegin, std::string::npos);
        m_shared.reset();
        m_sharedBegin = 0;
    }
}

void TcpChannel::releaseInput()
{
    if (m_input.capacity() > KeptCapacity && m_input.size() < m_input.capacity() / 2) {
        std::string(m_input).swap(m_input);
    }
}

void TcpChannel::flush()
{
    while (m_phase == Phase::Open && !m_failed && unsent() > 0 && sendSome()) {}
    if (m_outputBegin == m_output.size()) {
        m_outputBegin = 0;
        releaseIfLarge(m_output);
    }
    if (unsent() == 0) {
        m_shared.reset();
        m_sharedBegin = 0;
        if (m_finishing && m_phase == Phase::Open) {
            shutdown(m_socket, SHUT_WR);
        }
    }
    updateEvents();
}

// Returns whether more may be sent.
bool TcpChannel::sendSome()
{
    const bool isShared = m_outputBegin == m_output.size();
    const std::string &bytes = isShared ? *m_shared : m_output;
    std::size_t &begin = isShared ? m_sharedBegin : m_outputBegin;
    // A head goes out together with the first bytes of its body.
    const int more = !isShared && m_shared != nullptr ? MSG_MORE : 0;
    const ssize_t sent = send(m_socket, bytes.data() + begin, bytes.size() - begin, MSG_NOSIGNAL | more);
    if (sent < 0) {
        if (errno == EINTR) {
            return true;
        }
        // A broken channel is reported by its next readiness, never from within flush().
        m_failed = errno != EAGAIN && errno != EWOULDBLOCK;
        return false;
    }
    m_sent += static_cast<std::size_t>(sent);
    begin += static_cast<std::size_t>(sent);
    return true;
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

bool TcpChannel::outputConfirmed() const
{
    return m_unsentAtEnd == 0 && unconfirmed() == 0;
}

// A read behind an orderly end doesn't report a reset that followed.
bool TcpChannel::endedCleanly() const
{
    return takePendingError(m_socket) == 0;
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
    if (takePendingError(m_socket) != 0) {
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
        appendCompactly(m_input, {buffer.data(), static_cast<std::size_t>(received)});
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
    m_unsentAtEnd = unsent();
    m_output.clear();
    m_outputBegin = 0;
    m_shared.reset();
    m_sharedBegin = 0;
    m_loop.change(m_socket, m_events = 0);
    m_user.channelClosed(reset);
}

} // namespace celeryroute
