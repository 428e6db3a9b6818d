#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/transport/peerlink.h>

#include <memory>

namespace celeryroute {

namespace proto {
class TargetLoad;
}

/// Time without an answer after which a link reconnects, and after which its host counts as unreachable.
struct LinkTimeouts {
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    Duration reconnectAfter = std::chrono::milliseconds(1500);
    Duration unreachableAfter = std::chrono::milliseconds(4000);
    bool operator==(const LinkTimeouts &) const = default;
};

/// Action that tick() requests from the owner of a link.
enum class LinkAction {
    None,
    SendHeartbeat,
    Reconnected, ///< A new connection replaced a silent one; send a heartbeat on it.
};

/// @brief Link of an entry to an agent or another entry; tracks heartbeats, silence and the last load report.
class HostLink
{
public:
    HostLink(TransportContext &context, HostEntry host, LinkTimeouts timeouts, TimePoint now);

    const HostEntry &host() const;
    /// @param host must have the same role and address as before
    void setHost(const HostEntry &host);
    void setState(HostState state);
    PeerLink &peer();

    /// @brief Replaces a silent connection and returns whether a heartbeat is due.
    LinkAction tick(TimePoint now);
    /// @brief Receives a message of the host; nullptr if there is none.
    std::shared_ptr<const proto::Envelope> receive(TimePoint now);

    /// @brief Sequence number of the heartbeat that tick() requested.
    std::uint64_t heartbeatSequence() const;
    /// @brief Send time of the last answered heartbeat.
    TimePoint answeredHeartbeatSentAt() const;
    /// @brief Whether the host answered within the time limit.
    bool reachable(TimePoint now) const;
    TimePoint opened() const;
    /// @brief Whether new work may be sent.
    bool usable(TimePoint now) const;
    /// @brief The last load report; nullptr before the first.
    const proto::TargetLoad *load() const;
    TimePoint loadReceived() const;
    const std::string &incarnation() const;
    std::uint64_t stateOffset() const;

private:
    HostEntry m_host;
    LinkTimeouts m_timeouts;
    PeerLink m_peer;
    TimePoint m_opened;
    TimePoint m_lastHeartbeat;
    std::uint64_t m_heartbeatSequence = 0;
    TimePoint m_answeredHeartbeatSentAt;
    TimePoint m_lastAnswer;
    TimePoint m_lastConnect;
    TimePoint m_loadReceived;
    std::shared_ptr<const proto::Envelope> m_report;
    std::string m_incarnation;
    std::uint64_t m_stateOffset = 0;
    bool m_answered = false;
};

} // namespace celeryroute
