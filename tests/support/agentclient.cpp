#include "agentclient.h"

#include <array>
#include <zmq.h>

namespace celeryroute::test {

namespace {

constexpr Duration HangGuard = std::chrono::seconds(30);
constexpr long PollMs = 20;

} // namespace

std::string ReceivedAnswer::body() const
{
    std::string text;
    for (const auto &[sequence, data] : chunks) {
        text += data;
    }
    return text;
}

AgentClient::AgentClient(TransportContext &context, const std::string &endpoint)
    : m_link(context, endpoint, MonotonicClock::now())
{}

void AgentClient::send(const proto::Envelope &envelope)
{
    proto::Envelope stamped = envelope;
    stamped.set_sender("entry-1");
    m_link.send(stamped);
}

void AgentClient::submit(const proto::SubmitRequest &request)
{
    proto::Envelope envelope;
    *envelope.mutable_submit() = request;
    send(envelope);
}

void AgentClient::cancel(const std::string &attemptId)
{
    proto::Envelope envelope;
    envelope.mutable_cancel()->set_attempt_id(attemptId);
    send(envelope);
}

void AgentClient::resume(const std::string &attemptId, std::uint64_t nextSequence)
{
    proto::Envelope envelope;
    envelope.mutable_resume()->set_attempt_id(attemptId);
    envelope.mutable_resume()->set_next_sequence(nextSequence);
    send(envelope);
}

proto::HeartbeatReply AgentClient::heartbeat()
{
    m_heartbeat.reset();
    proto::Envelope envelope;
    envelope.mutable_heartbeat()->set_sequence(7);
    send(envelope);
    receiveUntil([this] { return m_heartbeat.has_value(); });
    return m_heartbeat.value_or(proto::HeartbeatReply());
}

bool AgentClient::receiveUntil(const std::function<bool()> &done)
{
    const TimePoint limit = MonotonicClock::now() + HangGuard;
    while (!done()) {
        const TimePoint now = MonotonicClock::now();
        if (now > limit) {
            return false;
        }
        if (const auto envelope = m_link.receive(now)) {
            take(*envelope);
            continue;
        }
        std::array<zmq_pollitem_t, 1> items{{{m_link.socket(), 0, ZMQ_POLLIN, 0}}};
        zmq_poll(items.data(), 1, PollMs);
    }
    return true;
}

const ReceivedAnswer &AgentClient::waitForAnswer(const std::string &attemptId)
{
    receiveUntil([this, &attemptId] { return m_answers[attemptId].end.has_value(); });
    return m_answers[attemptId];
}

const ReceivedAnswer &AgentClient::answer(const std::string &attemptId)
{
    return m_answers[attemptId];
}

const std::vector<proto::SuspicionNotice> &AgentClient::suspicions() const
{
    return m_suspicions;
}

void AgentClient::take(const proto::Envelope &envelope)
{
    if (envelope.has_response_head()) {
        m_answers[envelope.response_head().attempt_id()].head = envelope.response_head();
    } else if (envelope.has_response_chunk()) {
        const proto::ResponseChunk &chunk = envelope.response_chunk();
        m_answers[chunk.attempt_id()].chunks[chunk.sequence()] = chunk.data();
    } else if (envelope.has_response_end()) {
        m_answers[envelope.response_end().attempt_id()].end = envelope.response_end();
    } else if (envelope.has_suspicion()) {
        m_suspicions.push_back(envelope.suspicion());
    } else if (envelope.has_heartbeat_reply()) {
        m_heartbeat = envelope.heartbeat_reply();
    }
}

proto::SubmitRequest chatSubmit(const std::string &attemptId, const std::string &model)
{
    proto::SubmitRequest submit;
    submit.set_request_id("request-" + attemptId);
    submit.set_attempt_id(attemptId);
    submit.set_customer("dealer");
    submit.set_route("chat");
    submit.set_pool("p");
    submit.set_model(model);
    submit.set_method("POST");
    submit.set_path("/v1/chat/completions");
    submit.set_content_type("application/json");
    submit.set_body(R"({"stream":true})");
    submit.set_stream(true);
    submit.set_urgency(proto::INTERACTIVE);
    submit.set_remaining_ms(30'000);
    submit.set_reserved_tokens(100);
    submit.set_prompt_tokens(3);
    submit.set_weight(1);
    submit.set_repeatable(true);
    submit.set_request_digest("digest-" + attemptId);
    return submit;
}

} // namespace celeryroute::test
