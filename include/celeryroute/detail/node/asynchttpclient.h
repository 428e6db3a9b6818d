#pragma once

#include <celeryroute/detail/http1/targetchannels.h>
#include <celeryroute/detail/node/platformtranslation.h>

#include <functional>
#include <map>
#include <memory>

namespace celeryroute {

/// @brief HTTP client for small calls to one server, such as the platform's store, over persistent connections.
class AsyncHttpClient
{
public:
    /// Receives the head, with status 0 if no complete answer arrived, and the body.
    using Answered = std::function<void(const MessageHead &head, const std::string &body)>;

    /// Which connection a call uses.
    enum class Connection {
        Kept, ///< An idle one, or a new one that is kept for later calls.
        Own, ///< A new one for this call alone, where a late copy of an earlier answer can't come.
    };

    /// Longest body of an answer. A call whose answer is longer ends as one without an answer.
    static constexpr std::size_t MaxAnswerBytes = std::size_t{16} * 1024 * 1024;

    AsyncHttpClient(EventLoop &loop, const Endpoint &server);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /// @brief Starts a call; @p answered is called once, after this function has returned. A call that times out
    /// closes its connection.
    void
    call(const OutgoingRequest &call, Duration timeout, Answered answered, Connection connection = Connection::Kept);

    /// @brief Sends further calls to @p server; calls in progress are ended as if they had timed out.
    void useServer(const Endpoint &server);

    /// @brief Number of open connections, idle or not.
    std::size_t connections() const
    {
        return m_channels.size();
    }

private:
    class Exchange;

    void finish(Exchange *exchange);

    EventLoop &m_loop;
    Endpoint m_server;
    std::string m_host;
    TargetChannels m_channels;
    std::map<Exchange *, std::unique_ptr<Exchange>> m_exchanges;
};

} // namespace celeryroute
