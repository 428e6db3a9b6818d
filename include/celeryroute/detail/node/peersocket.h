#pragma once

#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/result.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

namespace wire {
class Envelope;
} // namespace wire

/// @brief UDP socket for messages between processes; one message per datagram, which may be lost.
class PeerSocket final : private FileHandler
{
public:
    using Received = std::function<void(const Endpoint &from, const wire::Envelope &envelope)>;

    /// @param sender IP address that messages give as their sender
    PeerSocket(EventLoop &loop, std::string sender, std::uint64_t incarnation, Received received);
    ~PeerSocket() override;

    Result<void> open(const Endpoint &endpoint);

    /// @brief Fills in sender, incarnation and the next numbers of @p envelope, and sends it.
    /// @return the size of the message
    std::size_t send(const Endpoint &to, wire::Envelope &envelope);

    /// @brief Sends @p envelope to the processes with the IP addresses @p addresses.
    /// @return the size of all messages
    std::size_t sendToAll(const std::vector<std::string> &addresses, std::uint16_t port, wire::Envelope &envelope);

    std::uint64_t incarnation() const
    {
        return m_incarnation;
    }

    /// @brief Sequence number of the next message.
    std::uint64_t nextSequence() const
    {
        return m_sequence + 1;
    }

private:
    void fileReady(std::uint32_t events) override;

    EventLoop &m_loop;
    std::string m_sender;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::map<Endpoint, std::uint64_t> m_sent; ///< Messages by receiver.
    Received m_received;
    int m_socket = -1;
    std::string m_buffer;
};

} // namespace celeryroute
