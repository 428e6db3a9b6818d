#include <celeryroute/detail/agent/peergateway.h>

#include <peer.pb.h>

namespace celeryroute {

PeerGateway::PeerGateway(TransportContext &context, std::string sender, std::function<std::uint64_t()> stateOffset)
    : m_server(context)
    , m_sender(std::move(sender))
    , m_stateOffset(std::move(stateOffset))
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
    return m_server.receive();
}

bool PeerGateway::send(const std::string &connection, proto::Envelope envelope)
{
    envelope.set_sender(m_sender);
    envelope.set_state_offset(m_stateOffset());
    return m_server.send(connection, envelope);
}

} // namespace celeryroute
