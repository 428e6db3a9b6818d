#pragma once

#include <celeryroute/detail/net/eventloop.h>

#include <functional>

namespace celeryroute {

/// Delivers SIGTERM, SIGINT and SIGHUP on the event loop; one per process.
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
