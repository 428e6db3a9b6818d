#pragma once

#include <celeryroute/detail/transport/peerserver.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace celeryroute {

/// The logical clock of a process; either function may be null.
struct LogicalClockHooks {
    std::function<std::uint64_t()> stamp;
    std::function<void(std::uint64_t)> observe;
};

/// @brief Sends and receives envelopes with this process's name and log offset on them.
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
    /// @brief Stamps and sends @p envelope; false when the peer has gone.
    bool send(const std::string &connection, proto::Envelope envelope);

private:
    PeerServer m_server;
    std::string m_sender;
    std::function<std::uint64_t()> m_stateOffset;
    LogicalClockHooks m_clock;
};

} // namespace celeryroute
