#include <celeryroute/detail/http/connectionwatch.h>

#include <celeryroute/detail/http/httpexchange.h>

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr Duration SlowCallerCheckInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t StopEventId = 0;
constexpr int EventsPerWait = 64;

} // namespace

ConnectionWatch::ConnectionWatch(Duration requestTimeout)
    : m_requestTimeout(requestTimeout)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_stopEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = StopEventId;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_stopEvent, &event);
    m_thread = std::thread([this] { run(); });
}

ConnectionWatch::~ConnectionWatch()
{
    eventfd_write(m_stopEvent, 1);
    m_thread.join();
    close(m_stopEvent);
    close(m_epoll);
}

void ConnectionWatch::connectionOpened(int socket, TimePoint now)
{
    absl::MutexLock lock(&m_mutex);
    const std::uint64_t id = ++m_lastId;
    m_connections[socket] = Connection{id, now + m_requestTimeout, {}};
    m_sockets[id] = socket;
    epoll_event event{};
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
}

std::uint64_t ConnectionWatch::requestStarted(int socket, TimePoint now)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_connections.find(socket);
    if (found == m_connections.end()) {
        return 0;
    }
    if (!found->second.requestDue) {
        found->second.requestDue = now + m_requestTimeout;
    }
    return found->second.id;
}

void ConnectionWatch::requestReceived(int socket, const std::shared_ptr<HttpExchange> &exchange)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_connections.find(socket);
    if (found != m_connections.end()) {
        found->second.requestDue.reset();
        found->second.exchange = exchange;
        arm(socket, found->second.id);
    }
}

void ConnectionWatch::requestEnded(int socket)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_connections.find(socket);
    if (found != m_connections.end()) {
        found->second.exchange.reset();
    }
}

void ConnectionWatch::connectionClosed(int socket)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_connections.find(socket);
    if (found != m_connections.end()) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        m_sockets.erase(found->second.id);
        m_connections.erase(found);
    }
}

// One-shot, because a half-closed socket signals without end.
void ConnectionWatch::arm(int socket, std::uint64_t id) const
{
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR | EPOLLONESHOT;
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event);
}

void ConnectionWatch::run()
{
    const auto waitMs = static_cast<int>(toMilliseconds(SlowCallerCheckInterval));
    TimePoint nextCheck = MonotonicClock::now() + SlowCallerCheckInterval;
    std::array<epoll_event, EventsPerWait> events{};
    while (true) {
        const int count = epoll_wait(m_epoll, events.data(), EventsPerWait, waitMs);
        for (int i = 0; i < count; ++i) {
            const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
            if (id == StopEventId) {
                return;
            }
            handleHangup(id);
        }
        const TimePoint now = MonotonicClock::now();
        if (now >= nextCheck) {
            cutSlowCallers(now);
            nextCheck = now + SlowCallerCheckInterval;
        }
    }
}

// The identifier, not the socket number, is looked up: the number may belong to a newer connection.
void ConnectionWatch::handleHangup(std::uint64_t id)
{
    std::shared_ptr<HttpExchange> exchange;
    {
        absl::MutexLock lock(&m_mutex);
        const auto socket = m_sockets.find(id);
        if (socket == m_sockets.end()) {
            return;
        }
        exchange = m_connections[socket->second].exchange.lock();
    }
    if (exchange) {
        exchange->lose();
    }
}

void ConnectionWatch::cutAll()
{
    absl::MutexLock lock(&m_mutex);
    for (const auto &[socket, connection] : m_connections) {
        shutdown(socket, SHUT_RDWR);
    }
}

// Under the lock no socket is closed, so no number can pass to another connection meanwhile.
void ConnectionWatch::cutSlowCallers(TimePoint now)
{
    absl::MutexLock lock(&m_mutex);
    for (auto &[socket, connection] : m_connections) {
        if (connection.requestDue && *connection.requestDue <= now) {
            connection.requestDue.reset();
            shutdown(socket, SHUT_RDWR);
        }
    }
}

} // namespace celeryroute
