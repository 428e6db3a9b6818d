#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/result.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace celeryroute {

/// Where a server listens and how much it accepts.
struct HttpServerSettings {
    std::string address = "127.0.0.1"; ///< IPv4 number.
    std::uint16_t port = 0; ///< 0 lets the system choose.
    std::size_t maxConnections = 4096;
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxHeaderBytes = 32U << 10U; ///< Of a request's start line and fields.
    Duration idleTimeout = std::chrono::seconds(30); ///< For slow or silent callers.
    bool operator==(const HttpServerSettings &) const = default;
};

/// @brief The answer to one request; every method may be called from any thread.
///
/// Either respond() once, or begin(), write() any number of times and end(); end(false) before
/// begin() cuts the connection without an answer. Calls after the
/// caller has gone have no effect. Destroying it unanswered sends status 500.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    virtual void respond(HttpResponse response) = 0;
    virtual void begin(int status, HttpFields headers) = 0;
    virtual void write(std::string data) = 0;
    /// @brief Ends a streamed answer; with @p complete false the connection is cut instead.
    virtual void end(bool complete) = 0;
    /// @brief Bytes written and not yet taken by the connection; bounds a slow reader.
    virtual std::size_t pendingBytes() const = 0;
    virtual bool closed() const = 0;
    /// @brief Calls @p callback once when the caller goes away before the end of the answer.
    virtual void onClosed(std::function<void()> callback) = 0;
};

/// Called on the server's thread with each whole request; must not block.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// An HTTP/1.1 server on an event loop and a thread of its own.
class HttpServer
{
public:
    HttpServer(HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// @brief Binds and serves. Fails with PortUnavailable.
    Result<void> start();
    std::uint16_t port() const;
    /// @brief Accepts no new connection; open ones go on.
    void stopAccepting();
    /// @brief Closes every connection and joins the thread; not from within the handler.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
