#pragma once

#include <celeryroute/detail/transport/peerlink.h>

#include <peer.pb.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute::test {

/// Answer messages that an entry received for one attempt.
struct ReceivedAnswer {
    std::optional<proto::ResponseHead> head;
    std::map<std::uint64_t, std::string> chunks;
    std::optional<proto::ResponseEnd> end;

    std::string body() const;
};

/// @brief Entry side of a connection to an agent. Stores the answer of each attempt.
class AgentClient
{
public:
    AgentClient(TransportContext &context, const std::string &endpoint);

    void submit(const proto::SubmitRequest &request);
    void cancel(const std::string &attemptId);
    void resume(const std::string &attemptId, std::uint64_t nextSequence);
    proto::HeartbeatReply heartbeat();

    /// @brief Receives messages until @p done returns true. Returns false on timeout.
    bool receiveUntil(const std::function<bool()> &done);
    /// @brief Waits for the end of the answer of @p attemptId and returns it.
    const ReceivedAnswer &waitForAnswer(const std::string &attemptId);
    const ReceivedAnswer &answer(const std::string &attemptId);
    const std::vector<proto::SuspicionNotice> &suspicions() const;

private:
    void send(const proto::Envelope &envelope);
    void take(const proto::Envelope &envelope);

    PeerLink m_link;
    std::map<std::string, ReceivedAnswer> m_answers;
    std::optional<proto::HeartbeatReply> m_heartbeat;
    std::vector<proto::SuspicionNotice> m_suspicions;
};

/// @brief Returns a submit message for route `chat`, pool `p` and model @p model, due in 30 seconds.
proto::SubmitRequest chatSubmit(const std::string &attemptId, const std::string &model = "m1");

} // namespace celeryroute::test
