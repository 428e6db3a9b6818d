#pragma once

#include <celeryroute/detail/transport/transportcontext.h>
#include <celeryroute/result.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// A message and the connection it came over.
struct PeerMessage {
    std::string connection; ///< Opaque; valid for answers to this peer.
    std::shared_ptr<const proto::Envelope> envelope;
};

/// @brief Listens for other processes' links; used by one thread.
class PeerServer
{
public:
    explicit PeerServer(TransportContext &context);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// @brief Binds `ip:port`; port 0 lets the system choose. Fails with PortUnavailable.
    Result<void> bind(const std::string &endpoint);
    /// @brief The bound `ip:port`.
    std::string endpoint() const;
    /// @brief Readable when receive() may have a message. Edge-triggered: after it signals, and after
    /// each send(), call receive() until it returns nothing.
    int fd() const;
    void *socket() const; ///< The ZeroMQ socket, for zmq_poll.
    /// @brief The next message, if any; malformed ones are counted and skipped.
    std::optional<PeerMessage> receive();
    /// @brief Sends without blocking; false when the peer has gone or does not read.
    bool send(const std::string &connection, const proto::Envelope &envelope);
    std::uint64_t malformedMessages() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
