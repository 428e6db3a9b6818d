#pragma once

#include <celeryroute/detail/transport/peerserver.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace celeryroute {

/// Access to the logical clock of a process. Either function may be null.
struct LogicalClockHooks {
    std::function<std::uint64_t()> stamp;
    std::function<void(std::uint64_t)> observe;
};

/// @brief Sends and receives envelopes. Outgoing ones carry this process's name and log offset.
class PeerGateway
{
public:
    PeerGateway(TransportContext &context,
                std::string sender,
                std::function<std::uint64_t()> stateOffset,
                LogicalClockHooks clock);

    Result<void> bind(const std::string &endpoint);
    std::string endpoint() const;
    int fd() const;
    std::optional<PeerMessage> receive();
    /// @brief Adds the sender fields to @p envelope and sends it. Returns false if the peer has disconnected.
    bool send(const std::string &connection, proto::Envelope envelope);

private:
    PeerServer m_server;
    std::string m_sender;
    std::function<std::uint64_t()> m_stateOffset;
    LogicalClockHooks m_clock;
};

} // namespace celeryroute
