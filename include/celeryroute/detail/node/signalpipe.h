#pragma once

#include <celeryroute/detail/net/eventloop.h>

#include <functional>

namespace celeryroute {

/// @brief Delivers SIGTERM, SIGINT and SIGHUP on the event loop. A process has at most one instance.
class SignalPipe final : private FileHandler
{
public:
    using Received = std::function<void(int signal)>;

    SignalPipe(EventLoop &loop, Received received);
    ~SignalPipe() override;

private:
    void fileReady(std::uint32_t events) override;

    EventLoop &m_loop;
    Received m_received;
    int m_readEnd = -1;
};

} // namespace celeryroute
