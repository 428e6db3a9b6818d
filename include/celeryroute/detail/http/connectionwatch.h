#pragma once

#include <celeryroute/time.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <thread>

namespace celeryroute {

class HttpExchange;

/// @brief Notices callers that close, and cuts those that send a request too slowly.
///
/// libmicrohttpd does not look at the socket of a suspended connection, and its timeout restarts
/// with every byte; this thread covers both.
class ConnectionWatch
{
public:
    explicit ConnectionWatch(Duration requestTimeout);
    ~ConnectionWatch();
    ConnectionWatch(const ConnectionWatch &) = delete;
    ConnectionWatch &operator=(const ConnectionWatch &) = delete;

    /// @brief A connection opened on @p socket; its first request must be whole in time.
    void connectionOpened(int socket, TimePoint now);
    /// @brief The head of a request was read; returns the number of the connection.
    std::uint64_t requestStarted(int socket, TimePoint now);
    /// @brief The request is whole; reports to @p exchange when the caller goes away.
    void requestReceived(int socket, const std::shared_ptr<HttpExchange> &exchange);
    /// @brief The answer is over; the connection is idle.
    void requestEnded(int socket);
    void connectionClosed(int socket);
    /// @brief Ends all connections that are open.
    void cutAll();

private:
    struct Connection {
        std::uint64_t id = 0;
        std::optional<TimePoint> requestDue;
        std::weak_ptr<HttpExchange> exchange;
    };

    void run();
    void arm(int socket, std::uint64_t id) const;
    void handleHangup(std::uint64_t id);
    void cutSlowCallers(TimePoint now);

    const Duration m_requestTimeout;
    int m_epoll = -1;
    int m_stopEvent = -1;
    absl::Mutex m_mutex;
    std::uint64_t m_lastId ABSL_GUARDED_BY(m_mutex) = 0;
    absl::flat_hash_map<int, Connection> m_connections ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<std::uint64_t, int> m_sockets ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace celeryroute
