#pragma once

#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/result.h>

#include <cstdint>
#include <functional>
#include <string>

namespace celeryroute {

namespace wire {
class Envelope;
} // namespace wire

/// Datagrams between the processes that serve on the hosts; one message each, which may be lost.
class PeerSocket final : private FileHandler
{
public:
    using Received = std::function<void(const Endpoint &from, const wire::Envelope &envelope)>;

    /// @param sender IP number that messages name as their sender
    PeerSocket(EventLoop &loop, std::string sender, std::uint64_t incarnation, Received received);
    ~PeerSocket() override;

    Result<void> open(const Endpoint &endpoint);

    /// @brief Sends @p envelope with sender, incarnation and the next sequence filled in.
    void send(const Endpoint &to, wire::Envelope &envelope);

    std::uint64_t incarnation() const
    {
        return m_incarnation;
    }

    /// @brief Number of the next message.
    std::uint64_t nextMessage() const
    {
        return m_sequence + 1;
    }

private:
    void fileReady(std::uint32_t events) override;

    EventLoop &m_loop;
    std::string m_sender;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    Received m_received;
    int m_socket = -1;
    std::string m_buffer;
};

} // namespace celeryroute
