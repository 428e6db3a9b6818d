#include <celeryroute/detail/http1/callerserver.h>

#include <celeryroute/detail/net/sockets.h>

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <unistd.h>
#include <vector>

namespace celeryroute {

namespace {

constexpr Duration AcceptPause = std::chrono::milliseconds(50);
/// Descriptors of evicted connections are closed after the turn, and the reserve has to cover them until then.
constexpr std::size_t EvictionsPerTurn = 8;

} // namespace

CallerServer::CallerServer(EventLoop &loop, CallerHandler &handler)
    : m_loop(loop)
    , m_handler(handler)
{}

CallerServer::~CallerServer()
{
    closeListener();
}

Result<void> CallerServer::listen(const Endpoint &endpoint)
{
    BOOST_LEAF_ASSIGN(m_listener, listenTcp(endpoint));
    m_loop.watch(m_listener, EPOLLIN, *this);
    return {};
}

std::uint16_t CallerServer::port() const
{
    return boundPort(m_listener);
}

// A connection that waits to be accepted may have brought its request, and would be reset with the listener.
void CallerServer::stopListening()
{
    if (m_listener >= 0) {
        acceptWaiting();
    }
    closeListener();
}

void CallerServer::closeListener()
{
    m_loop.cancel(m_pause);
    m_pause = 0;
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        close(m_listener);
        m_listener = -1;
    }
}

void CallerServer::discard(CallerConnection &connection)
{
    ++m_discarded;
    m_loop.defer([this, gone = &connection] {
        --m_discarded;
        m_connections.erase(gone);
    });
}

void CallerServer::closeIdle(Duration least)
{
    std::vector<CallerConnection *> idle;
    for (const auto &[address, connection] : m_connections) {
        if (connection->idle()) {
            idle.push_back(address);
        }
    }
    for (CallerConnection *connection : idle) {
        connection->closeIdle(least);
    }
}

void CallerServer::closeAll()
{
    m_connections.clear();
}

void CallerServer::fileReady(std::uint32_t)
{
    acceptWaiting();
    if (errno == EMFILE || errno == ENFILE) {
        pause();
    }
}

void CallerServer::acceptWaiting()
{
    for (int file = acceptTcp(m_listener); file >= 0; file = acceptTcp(m_listener)) {
        if (m_connections.size() >= m_most || !makeRoom()) {
            close(file);
            continue;
        }
        auto connection = std::make_unique<CallerConnection>(m_loop, file, m_handler, m_account, ++m_accepted);
        CallerConnection *address = connection.get();
        m_connections.emplace(address, std::move(connection));
        if (m_discarded >= EvictionsPerTurn && m_others) {
            errno = 0;
            return; // The listener is reported again in the next turn.
        }
    }
}

void CallerServer::limitDescriptors(std::size_t most, std::function<std::size_t()> others)
{
    m_mostDescriptors = most;
    m_others = std::move(others);
}

bool CallerServer::makeRoom()
{
    if (!m_others || m_connections.size() - m_discarded + m_others() < m_mostDescriptors) {
        return true;
    }
    std::vector<CallerConnection *> candidates;
    candidates.reserve(m_connections.size());
    for (const auto &[address, connection] : m_connections) {
        candidates.push_back(address);
    }
    std::sort(candidates.begin(), candidates.end(), [](const CallerConnection *one, const CallerConnection *other) {
        return one->progressAt() < other->progressAt();
    });
    const auto stalest = std::find_if(candidates.begin(), candidates.end(), [](const CallerConnection *connection) {
        return connection->mayBeEvicted();
    });
    if (stalest == candidates.end()) {
        return false;
    }
    (*stalest)->evict(EvictionReason::Descriptors);
    return true;
}

// The listener stays readable while a connection waits that cannot be accepted.
void CallerServer::pause()
{
    m_loop.change(m_listener, 0);
    m_pause = m_loop.at(m_loop.now() + AcceptPause, [this] {
        m_pause = 0;
        m_loop.change(m_listener, EPOLLIN);
    });
}

} // namespace celeryroute
