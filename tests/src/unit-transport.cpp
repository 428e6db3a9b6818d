#include <celeryroute/detail/transport/peerlink.h>
#include <celeryroute/detail/transport/peerserver.h>

#include <peer.pb.h>

#include <array>
#include <poll.h>
#include <zmq.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

CurveKeys newCurveKeys()
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return {publicKey.data(), secretKey.data()};
}

proto::Envelope heartbeat(std::uint64_t sequence)
{
    proto::Envelope envelope;
    envelope.mutable_heartbeat()->set_sequence(sequence);
    return envelope;
}

std::optional<PeerMessage> waitForMessage(PeerServer &server, std::chrono::milliseconds limit)
{
    const TimePoint end = MonotonicClock::now() + limit;
    for (;;) {
        if (auto message = server.receive()) {
            return message;
        }
        if (MonotonicClock::now() >= end) {
            return std::nullopt;
        }
        pollfd descriptor{server.fd(), POLLIN, 0};
        poll(&descriptor, 1, 20);
    }
}

std::shared_ptr<const proto::Envelope> waitForEnvelope(PeerLink &link, std::chrono::milliseconds limit)
{
    const TimePoint end = MonotonicClock::now() + limit;
    for (;;) {
        if (auto envelope = link.receive(MonotonicClock::now())) {
            return envelope;
        }
        if (MonotonicClock::now() >= end) {
            return nullptr;
        }
        zmq_pollitem_t item{link.socket(), 0, ZMQ_POLLIN, 0};
        zmq_poll(&item, 1, 20);
    }
}

constexpr std::chrono::milliseconds HangGuard{10'000};
constexpr std::chrono::milliseconds RefusalWait{700};

void bindAnyPort(PeerServer &server)
{
    const bool bound = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(server.bind("127.0.0.1:0"));
            return true;
        },
        [](const Error &) { return false; });
    CHECK(bound);
}

} // namespace

TEST_GROUP(PeerTransport){};

TEST(PeerTransport, plainLink_messageAndAnswerPass)
{
    TransportContext context{CurveKeys{}};
    PeerServer server(context);
    bindAnyPort(server);
    PeerLink link(context, server.endpoint(), MonotonicClock::now());
    CHECK(link.send(heartbeat(7)));
    const auto message = waitForMessage(server, HangGuard);
    CHECK(message.has_value());
    CHECK_EQUAL(7, message->envelope->heartbeat().sequence());
    CHECK(server.send(message->connection, heartbeat(8)));
    const auto answer = waitForEnvelope(link, HangGuard);
    CHECK(answer != nullptr);
    CHECK_EQUAL(8, answer->heartbeat().sequence());
}

TEST(PeerTransport, linkWithTheDeploymentKey_isAdmitted)
{
    TransportContext context{newCurveKeys()};
    PeerServer server(context);
    bindAnyPort(server);
    PeerLink link(context, server.endpoint(), MonotonicClock::now());
    CHECK(link.send(heartbeat(1)));
    CHECK(waitForMessage(server, HangGuard).has_value());
}

TEST(PeerTransport, linkWithAnotherSecretKey_isRefused)
{
    const CurveKeys keys = newCurveKeys();
    TransportContext serverContext{keys};
    PeerServer server(serverContext);
    bindAnyPort(server);
    void *intruderContext = zmq_ctx_new();
    void *intruder = zmq_socket(intruderContext, ZMQ_DEALER);
    const CurveKeys intruderKeys = newCurveKeys();
    const int linger = 0;
    zmq_setsockopt(intruder, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(intruder, ZMQ_CURVE_SERVERKEY, keys.publicKey.c_str(), keys.publicKey.size());
    zmq_setsockopt(intruder, ZMQ_CURVE_PUBLICKEY, intruderKeys.publicKey.c_str(), intruderKeys.publicKey.size());
    zmq_setsockopt(intruder, ZMQ_CURVE_SECRETKEY, intruderKeys.secretKey.c_str(), intruderKeys.secretKey.size());
    zmq_connect(intruder, ("tcp://" + server.endpoint()).c_str());
    const std::string bytes = heartbeat(1).SerializeAsString();
    zmq_send(intruder, bytes.data(), bytes.size(), ZMQ_DONTWAIT);
    CHECK_FALSE(waitForMessage(server, RefusalWait).has_value());
    zmq_close(intruder);
    zmq_ctx_term(intruderContext);
}

TEST(PeerTransport, plainLinkToEncryptedServer_isRefused)
{
    TransportContext serverContext{newCurveKeys()};
    PeerServer server(serverContext);
    bindAnyPort(server);
    TransportContext plainContext{CurveKeys{}};
    PeerLink link(plainContext, server.endpoint(), MonotonicClock::now());
    link.send(heartbeat(1));
    CHECK_FALSE(waitForMessage(server, RefusalWait).has_value());
}

TEST(PeerTransport, bytesThatAreNoEnvelope_areCountedAndSkipped)
{
    TransportContext context{CurveKeys{}};
    PeerServer server(context);
    bindAnyPort(server);
    void *socket = zmq_socket(context.handle(), ZMQ_DEALER);
    const int linger = 0;
    zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_connect(socket, ("tcp://" + server.endpoint()).c_str());
    zmq_send(socket, "\xff\xff\xff", 3, 0);
    const std::string bytes = heartbeat(3).SerializeAsString();
    zmq_send(socket, bytes.data(), bytes.size(), 0);
    const auto message = waitForMessage(server, HangGuard);
    CHECK(message.has_value());
    CHECK_EQUAL(3, message->envelope->heartbeat().sequence());
    CHECK_EQUAL(1, server.malformedMessages());
    zmq_close(socket);
}

TEST(PeerTransport, sendToAPeerThatHasGone_isReported)
{
    TransportContext context{CurveKeys{}};
    PeerServer server(context);
    bindAnyPort(server);
    CHECK_FALSE(server.send("nobody", heartbeat(1)));
}

TEST(PeerTransport, secondBindOfAPort_failsWithPortUnavailable)
{
    TransportContext context{CurveKeys{}};
    PeerServer first(context);
    bindAnyPort(first);
    PeerServer second(context);
    const ResultCode code = handleErrors(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(second.bind(first.endpoint()));
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; });
    CHECK(code == ResultCode::PortUnavailable);
}
