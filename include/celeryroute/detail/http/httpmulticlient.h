#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/error.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace celeryroute {

/// How a call ended: no error after a whole answer.
struct HttpCallEnd {
    std::optional<Error> error;
    bool connected = false; ///< False when provably no byte of the request was sent.
    bool operator==(const HttpCallEnd &) const = default;
};

/// Receives the parts of one answer, in order, on the thread that polls.
struct HttpCallObserver {
    std::function<void(int status, const HttpFields &headers)> onHead;
    std::function<void(const std::string &data)> onData;
    std::function<void(const HttpCallEnd &end)> onEnd;
};

/// @brief Many calls at once, on the event loop that poll() runs.
class HttpMultiClient
{
public:
    using CallId = std::uint64_t;

    HttpMultiClient();
    ~HttpMultiClient();
    HttpMultiClient(const HttpMultiClient &) = delete;
    HttpMultiClient &operator=(const HttpMultiClient &) = delete;

    /// @brief Starts @p call; its end is always reported unless it is cancelled.
    CallId start(const HttpCall &call, HttpCallObserver observer);
    /// @brief Closes the connection of a call; its observer is not called any more.
    void cancel(CallId id);
    std::size_t running() const;
    /// @brief Waits up to @p timeout for progress, for @p extraFd (or -1) to become readable, or for
    /// wakeUp(), then runs observers. A file stays open until another one or none is given.
    void poll(Duration timeout, int extraFd = -1);
    /// @brief Makes a poll() on another thread return; may be called from any thread.
    void wakeUp();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
