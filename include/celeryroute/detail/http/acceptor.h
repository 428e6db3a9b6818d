#pragma once

#include <celeryroute/result.h>

#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <thread>

namespace celeryroute {

/// @brief Accepts TCP connections on a thread of its own.
///
/// libmicrohttpd 0.9.75 can abort the process when its own listening socket is quiesced, so the
/// server listens here and hands the connections over.
class Acceptor
{
public:
    /// Owns @p socket from then on.
    using Handler = std::function<void(int socket, const sockaddr_in &peer)>;

    explicit Acceptor(Handler handler);
    ~Acceptor();
    Acceptor(const Acceptor &) = delete;
    Acceptor &operator=(const Acceptor &) = delete;

    /// @brief Fails with SettingInvalid or PortUnavailable.
    Result<void> start(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    /// @brief Closes the listening socket, so that new callers are refused.
    void stop();

private:
    void run();
    void acceptAll();

    Handler m_handler;
    int m_listener = -1;
    int m_stopEvent = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace celeryroute
