#pragma once

#include <celeryroute/detail/http1/targetchannels.h>
#include <celeryroute/detail/node/platformtranslation.h>

#include <functional>
#include <map>
#include <memory>

namespace celeryroute {

/// Sends small calls to one server, such as the platform's store, over kept channels.
class PlainCaller
{
public:
    /// Receives the head, with status 0 when no whole answer came, and the body.
    using Answered = std::function<void(const MessageHead &head, const std::string &body)>;

    PlainCaller(EventLoop &loop, const Endpoint &server);
    ~PlainCaller();
    PlainCaller(const PlainCaller &) = delete;
    PlainCaller &operator=(const PlainCaller &) = delete;

    /// @brief @p answered is called once, later. A call that times out closes its channel.
    void call(const PlainCall &call, Duration timeout, Answered answered);

    /// @brief Sends calls to @p server from now on; those in work are given up, as if they timed out.
    void useServer(const Endpoint &server);

    /// @brief Open channels, idle or not.
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
