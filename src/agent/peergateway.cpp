#include <celeryroute/detail/agent/peergateway.h>

#include <peer.pb.h>

namespace celeryroute {

PeerGateway::PeerGateway(TransportContext &context,
                         std::string sender,
                         std::function<std::uint64_t()> stateOffset,
                         LogicalClockHooks clock)
    : m_server(context)
    , m_sender(std::move(sender))
    , m_stateOffset(std::move(stateOffset))
    , m_clock(std::move(clock))
{}

Result<void> PeerGateway::bind(const std::string &endpoint)
{
    return m_server.bind(endpoint);
}

std::string PeerGateway::endpoint() const
{
    return m_server.endpoint();
}

int PeerGateway::fd() const
{
    return m_server.fd();
}

std::optional<PeerMessage> PeerGateway::receive()
{
    std::optional<PeerMessage> message = m_server.receive();
    if (message && m_clock.observe) {
        m_clock.observe(message->envelope->logical_time());
    }
    return message;
}

bool PeerGateway::send(const std::string &connection, proto::Envelope envelope)
{
    envelope.set_sender(m_sender);
    envelope.set_state_offset(m_stateOffset());
    if (m_clock.stamp) {
        envelope.set_logical_time(m_clock.stamp());
    }
    return m_server.send(connection, envelope);
}

} // namespace celeryroute
