#include <celeryroute/detail/transport/peerlink.h>

#include "socketoptions.h"

#include <peer.pb.h>

#include <zmq.h>

namespace celeryroute {

class PeerLink::Private
{
public:
    Private(TransportContext &context, std::string endpoint)
        : context(context)
        , endpoint(std::move(endpoint))
    {
        open();
    }

    ~Private()
    {
        zmq_close(socket);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void open()
    {
        socket = zmq_socket(context.handle(), ZMQ_DEALER);
        applyCommonOptions(socket);
        applyClientKeys(socket, context.keys());
        zmq_connect(socket, ("tcp://" + endpoint).c_str());
    }

    TransportContext &context;
    std::string endpoint;
    void *socket = nullptr;
    TimePoint lastReceived;
};

PeerLink::PeerLink(TransportContext &context, std::string endpoint, TimePoint now)
    : m_private(std::make_unique<Private>(context, std::move(endpoint)))
{
    m_private->lastReceived = now;
}

PeerLink::~PeerLink() = default;

const std::string &PeerLink::endpoint() const
{
    return m_private->endpoint;
}

void *PeerLink::socket() const
{
    return m_private->socket;
}

bool PeerLink::send(const proto::Envelope &envelope)
{
    return sendEnvelope(m_private->socket, nullptr, envelope);
}

std::shared_ptr<const proto::Envelope> PeerLink::receive(TimePoint now)
{
    for (;;) {
        bool more = false;
        auto payload = receiveFrame(m_private->socket, more);
        if (!payload) {
            return nullptr;
        }
        const bool single = !more;
        while (more) {
            receiveFrame(m_private->socket, more);
        }
        auto envelope = std::make_shared<proto::Envelope>();
        if (single && envelope->ParseFromString(*payload)) {
            m_private->lastReceived = now;
            return envelope;
        }
    }
}

TimePoint PeerLink::lastReceived() const
{
    return m_private->lastReceived;
}

void PeerLink::reconnect(TimePoint now)
{
    zmq_close(m_private->socket);
    m_private->open();
    m_private->lastReceived = now;
}

} // namespace celeryroute
