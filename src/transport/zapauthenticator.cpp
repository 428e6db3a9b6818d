#include "zapauthenticator.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>
#include <zmq.h>

namespace celeryroute {

namespace {

constexpr std::size_t CurveKeyBytes = 32;
constexpr std::size_t MechanismFrame = 5;
constexpr std::size_t KeyFrame = 6;
constexpr std::size_t RequestIdFrame = 1;

std::optional<std::vector<std::string>> receiveFrames(void *socket)
{
    std::vector<std::string> frames;
    for (;;) {
        zmq_msg_t message;
        zmq_msg_init(&message);
        if (zmq_msg_recv(&message, socket, 0) < 0) {
            zmq_msg_close(&message);
            return std::nullopt;
        }
        frames.emplace_back(static_cast<const char *>(zmq_msg_data(&message)), zmq_msg_size(&message));
        const bool more = zmq_msg_more(&message) != 0;
        zmq_msg_close(&message);
        if (!more) {
            return frames;
        }
    }
}

void sendFrames(void *socket, const std::vector<std::string> &frames)
{
    for (std::size_t i = 0; i < frames.size(); ++i) {
        const int flags = i + 1 < frames.size() ? ZMQ_SNDMORE : 0;
        zmq_send(socket, frames[i].data(), frames[i].size(), flags);
    }
}

} // namespace

ZapAuthenticator::ZapAuthenticator(void *context, const std::string &publicKey)
    : m_socket(zmq_socket(context, ZMQ_REP))
{
    std::array<std::uint8_t, CurveKeyBytes> key{};
    if (zmq_z85_decode(key.data(), publicKey.c_str()) != nullptr) {
        m_admittedKey.assign(reinterpret_cast<const char *>(key.data()), key.size());
    }
    zmq_bind(m_socket, "inproc://zeromq.zap.01");
    m_thread = std::thread([this] { run(); });
}

ZapAuthenticator::~ZapAuthenticator()
{
    m_thread.join();
}

// Without this check any client that learned the server's public key could connect.
void ZapAuthenticator::run()
{
    while (const auto frames = receiveFrames(m_socket)) {
        const bool wellFormed = frames->size() > KeyFrame;
        const bool admitted = wellFormed && (*frames)[MechanismFrame] == "CURVE" && !m_admittedKey.empty()
            && (*frames)[KeyFrame] == m_admittedKey;
        const std::string requestId = wellFormed ? (*frames)[RequestIdFrame] : std::string();
        const std::string status = admitted ? "200" : "400";
        sendFrames(m_socket, {"1.0", requestId, status, admitted ? "OK" : "key refused", "", ""});
    }
    const int linger = 0;
    zmq_setsockopt(m_socket, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_close(m_socket);
}

} // namespace celeryroute
