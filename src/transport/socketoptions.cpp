#include "socketoptions.h"

#include <peer.pb.h>

#include <zmq.h>

namespace celeryroute {

namespace {

constexpr int MaxQueuedMessages = 20'000;
constexpr int MaxMessageBytes = 32 << 20;
constexpr int HandshakeTimeoutMs = 2'000;
constexpr int ReconnectIntervalMs = 50;
constexpr int MaxReconnectIntervalMs = 1'000;

void setOption(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

} // namespace

void applyCommonOptions(void *socket)
{
    setOption(socket, ZMQ_LINGER, 0);
    setOption(socket, ZMQ_SNDHWM, MaxQueuedMessages);
    setOption(socket, ZMQ_RCVHWM, MaxQueuedMessages);
    setOption(socket, ZMQ_HANDSHAKE_IVL, HandshakeTimeoutMs);
    setOption(socket, ZMQ_RECONNECT_IVL, ReconnectIntervalMs);
    setOption(socket, ZMQ_RECONNECT_IVL_MAX, MaxReconnectIntervalMs);
    const std::int64_t limit = MaxMessageBytes;
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit, sizeof(limit));
}

void applyServerKeys(void *socket, const CurveKeys &keys)
{
    if (!keys.enabled()) {
        return;
    }
    setOption(socket, ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys.secretKey.c_str(), keys.secretKey.size());
    const std::string domain = "celeryroute";
    zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, domain.data(), domain.size());
}

void applyClientKeys(void *socket, const CurveKeys &keys)
{
    if (!keys.enabled()) {
        return;
    }
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, keys.publicKey.c_str(), keys.publicKey.size());
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys.publicKey.c_str(), keys.publicKey.size());
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys.secretKey.c_str(), keys.secretKey.size());
}

bool sendEnvelope(void *socket, const std::string *routingId, const proto::Envelope &envelope)
{
    if (routingId != nullptr) {
        const int flags = ZMQ_DONTWAIT | ZMQ_SNDMORE;
        if (zmq_send(socket, routingId->data(), routingId->size(), flags) < 0) {
            return false;
        }
    }
    zmq_msg_t message;
    const std::size_t size = envelope.ByteSizeLong();
    zmq_msg_init_size(&message, size);
    envelope.SerializeToArray(zmq_msg_data(&message), static_cast<int>(size));
    if (zmq_msg_send(&message, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&message);
        return false;
    }
    return true;
}

std::optional<std::string> receiveFrame(void *socket, bool &more)
{
    zmq_msg_t message;
    zmq_msg_init(&message);
    if (zmq_msg_recv(&message, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&message);
        more = false;
        return std::nullopt;
    }
    std::string frame(static_cast<const char *>(zmq_msg_data(&message)), zmq_msg_size(&message));
    more = zmq_msg_more(&message) != 0;
    zmq_msg_close(&message);
    return frame;
}

} // namespace celeryroute
