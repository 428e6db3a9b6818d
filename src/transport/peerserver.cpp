#include <celeryroute/detail/transport/peerserver.h>

#include "socketoptions.h"

#include <peer.pb.h>

#include <array>
#include <zmq.h>

namespace celeryroute {

class PeerServer::Private
{
public:
    explicit Private(TransportContext &context)
        : socket(zmq_socket(context.handle(), ZMQ_ROUTER))
    {
        applyCommonOptions(socket);
        applyServerKeys(socket, context.keys());
        const int mandatory = 1;
        zmq_setsockopt(socket, ZMQ_ROUTER_MANDATORY, &mandatory, sizeof(mandatory));
    }

    ~Private()
    {
        zmq_close(socket);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void *socket;
    std::string endpoint;
    std::uint64_t malformed = 0;
};

PeerServer::PeerServer(TransportContext &context)
    : m_private(std::make_unique<Private>(context))
{}

PeerServer::~PeerServer() = default;

Result<void> PeerServer::bind(const std::string &endpoint)
{
    std::string address = "tcp://" + endpoint;
    const std::string anyPort = ":0";
    if (address.size() > anyPort.size()
        && address.compare(address.size() - anyPort.size(), anyPort.size(), anyPort) == 0) {
        address.replace(address.size() - 1, 1, "*");
    }
    if (zmq_bind(m_private->socket, address.c_str()) != 0) {
        return fail(ResultCode::PortUnavailable, "cannot bind " + endpoint + ": " + zmq_strerror(zmq_errno()));
    }
    std::array<char, 256> bound{};
    std::size_t size = bound.size();
    zmq_getsockopt(m_private->socket, ZMQ_LAST_ENDPOINT, bound.data(), &size);
    const std::string scheme = "tcp://";
    m_private->endpoint = std::string(bound.data()).substr(scheme.size());
    return {};
}

std::string PeerServer::endpoint() const
{
    return m_private->endpoint;
}

int PeerServer::fd() const
{
    int fd = -1;
    std::size_t size = sizeof(fd);
    zmq_getsockopt(m_private->socket, ZMQ_FD, &fd, &size);
    return fd;
}

void *PeerServer::socket() const
{
    return m_private->socket;
}

std::optional<PeerMessage> PeerServer::receive()
{
    for (;;) {
        bool more = false;
        auto connection = receiveFrame(m_private->socket, more);
        if (!connection) {
            return std::nullopt;
        }
        std::optional<std::string> payload;
        std::size_t payloadFrames = 0;
        while (more) {
            payload = receiveFrame(m_private->socket, more);
            ++payloadFrames;
        }
        auto envelope = std::make_shared<proto::Envelope>();
        if (payloadFrames == 1 && payload && envelope->ParseFromString(*payload)) {
            return PeerMessage{std::move(*connection), std::move(envelope)};
        }
        ++m_private->malformed;
    }
}

bool PeerServer::send(const std::string &connection, const proto::Envelope &envelope)
{
    return sendEnvelope(m_private->socket, &connection, envelope);
}

std::uint64_t PeerServer::malformedMessages() const
{
    return m_private->malformed;
}

} // namespace celeryroute
