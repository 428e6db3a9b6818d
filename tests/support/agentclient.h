#pragma once

#include <celeryroute/detail/transport/peerlink.h>

#include <peer.pb.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute::test {

/// What an entry would have received of one attempt.
struct ReceivedAnswer {
    std::optional<proto::ResponseHead> head;
    std::map<std::uint64_t, std::string> chunks;
    std::optional<proto::ResponseEnd> end;

    std::string body() const;
};

/// @brief The entry's end of a link to an agent; keeps what each attempt's answer brought.
class AgentClient
{
public:
    AgentClient(TransportContext &context, const std::string &endpoint);

    void submit(const proto::SubmitRequest &request);
    void cancel(const std::string &attemptId);
    void resume(const std::string &attemptId, std::uint64_t nextSequence);
    proto::HeartbeatReply heartbeat();

    /// @brief Receives until @p done; false after the hang guard.
    bool receiveUntil(const std::function<bool()> &done);
    /// @brief The answer of @p attemptId, after waiting for its end.
    const ReceivedAnswer &whole(const std::string &attemptId);
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

/// @brief A submit of route `chat`, pool `p`, model `m1`, with half a minute left.
proto::SubmitRequest chatSubmit(const std::string &attemptId, const std::string &model = "m1");

} // namespace celeryroute::test
