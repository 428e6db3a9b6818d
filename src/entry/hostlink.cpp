#include <celeryroute/detail/entry/hostlink.h>

#include <peer.pb.h>

#include <algorithm>

namespace celeryroute {

HostLink::HostLink(TransportContext &context, HostEntry host, LinkTimeouts timeouts, TimePoint now)
    : m_host(std::move(host))
    , m_timeouts(timeouts)
    , m_peer(context, m_host.address, now)
    , m_opened(now)
    , m_lastHeartbeat(now - timeouts.heartbeatInterval)
    , m_lastAnswer(now)
    , m_lastConnect(now)
{}

const HostEntry &HostLink::host() const
{
    return m_host;
}

void HostLink::setHost(const HostEntry &host)
{
    m_host = host;
}

void HostLink::setState(HostState state)
{
    m_host.state = state;
}

PeerLink &HostLink::peer()
{
    return m_peer;
}

// If a middlebox has dropped the state of a connection, it stays silent permanently although a new
// connection works. A silent link therefore reconnects before its host counts as unreachable.
LinkAction HostLink::tick(TimePoint now)
{
    const TimePoint quietSince = std::max(m_lastAnswer, m_lastConnect);
    if (now - quietSince >= m_timeouts.reconnectAfter) {
        m_peer.reconnect(now);
        m_lastConnect = now;
        m_lastHeartbeat = now;
        ++m_heartbeatSequence;
        return LinkAction::Reconnected;
    }
    if (now - m_lastHeartbeat >= m_timeouts.heartbeatInterval) {
        m_lastHeartbeat = now;
        ++m_heartbeatSequence;
        return LinkAction::SendHeartbeat;
    }
    return LinkAction::None;
}

std::shared_ptr<const proto::Envelope> HostLink::receive(TimePoint now)
{
    std::shared_ptr<const proto::Envelope> envelope = m_peer.receive(now);
    if (!envelope) {
        return nullptr;
    }
    m_lastAnswer = now;
    m_answered = true;
    m_stateOffset = envelope->state_offset();
    m_incarnation = envelope->sender();
    if (envelope->has_heartbeat_reply()) {
        m_report = envelope;
        m_loadReceived = now;
        if (envelope->heartbeat_reply().sequence() == m_heartbeatSequence) {
            m_answeredHeartbeatSentAt = m_lastHeartbeat;
        }
    }
    return envelope;
}

std::uint64_t HostLink::heartbeatSequence() const
{
    return m_heartbeatSequence;
}

TimePoint HostLink::answeredHeartbeatSentAt() const
{
    return m_answeredHeartbeatSentAt;
}

bool HostLink::reachable(TimePoint now) const
{
    return m_answered && now - m_lastAnswer < m_timeouts.unreachableAfter;
}

TimePoint HostLink::opened() const
{
    return m_opened;
}

bool HostLink::usable(TimePoint now) const
{
    if (m_host.state == HostState::Leaving || !reachable(now)) {
        return false;
    }
    return m_report == nullptr || !m_report->heartbeat_reply().leaving();
}

const proto::TargetLoad *HostLink::load() const
{
    return m_report == nullptr ? nullptr : &m_report->heartbeat_reply().load();
}

TimePoint HostLink::loadReceived() const
{
    return m_loadReceived;
}

const std::string &HostLink::incarnation() const
{
    return m_incarnation;
}

std::uint64_t HostLink::stateOffset() const
{
    return m_stateOffset;
}

} // namespace celeryroute
