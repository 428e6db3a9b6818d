#include "callrunner.h"

#include "attemptrules.h"
#include "submitmessage.h"

#include <celeryroute/detail/base/digest.h>

#include <peer.pb.h>

// Attempts of calls: sending them to hosts, processing their answers and retrying.
namespace celeryroute {

namespace {

constexpr Duration RetryAfterCapacity = std::chrono::seconds(1);
constexpr std::uint64_t ChunksPerAck = 16;
constexpr std::size_t AttemptIdBytes = 8;

} // namespace

void CallRunner::startAttempt(Flight &flight, TimePoint now)
{
    HostLink *link = m_router.choose(flight.call, flight.triedHosts);
    if (link == nullptr || !sendAttempt(flight, *link, now)) {
        const std::string message = "no live target of pool '" + flight.call.route.pool + "' is left to try";
        refuse(flight, {{ResultCode::NoTarget, message}, RunState::NotRun, RetryAfterCapacity}, now);
    }
}

bool CallRunner::sendAttempt(Flight &flight, HostLink &link, TimePoint now)
{
    auto attempt = std::make_unique<EntryAttempt>();
    attempt->id = randomId(AttemptIdBytes);
    attempt->host = link.host().host;
    attempt->sent = now;
    attempt->lastProgress = now;
    SubmitParameters terms;
    if (const auto *customer = m_state->customer(flight.call.caller.customer)) {
        terms.weight = customer->value.weight;
    }
    terms.claimId = flight.claimId;
    terms.claimOffset = flight.claimOffset;
    terms.shareEpoch = m_state->shares().epoch;
    proto::Envelope envelope;
    fillSubmit(envelope, flight.call, attempt->id, terms, now);
    const std::string host = attempt->host;
    m_router.noteSent(link, attempt->id, flight.call.worstCaseTokens, now);
    flight.triedHosts.insert(host);
    ++flight.attempts;
    m_table.setAttempt(flight, std::move(attempt));
    m_reporter.dispatched(flight, host);
    if (!send(link, envelope)) {
        endAttempt(flight);
        return false;
    }
    return true;
}

void CallRunner::receive(HostLink &link, const proto::Envelope &envelope, TimePoint now)
{
    m_timeline.observe(envelope.logical_time());
    if (receiveFromEntry(envelope, now)) {
        return;
    }
    switch (envelope.body_case()) {
    case proto::Envelope::kHeartbeatReply:
        m_router.takeReport(link);
        break;
    case proto::Envelope::kResponseHead:
        if (Flight *flight = m_table.findAttempt(envelope.response_head().attempt_id())) {
            flight->attempt->lastProgress = now;
            takeHead(*flight, envelope.response_head());
        }
        break;
    case proto::Envelope::kResponseChunk:
        if (Flight *flight = m_table.findAttempt(envelope.response_chunk().attempt_id())) {
            flight->attempt->lastProgress = now;
            takeChunk(*flight, link, envelope.response_chunk(), now);
        }
        break;
    case proto::Envelope::kResponseEnd:
        if (Flight *flight = m_table.findAttempt(envelope.response_end().attempt_id())) {
            flight->attempt->lastProgress = now;
            takeEnd(*flight, link, envelope.response_end(), now);
        }
        break;
    default:
        break;
    }
}

void CallRunner::takeHead(Flight &flight, const proto::ResponseHead &head)
{
    flight.attempt->status = head.status();
    flight.attempt->contentType = head.content_type();
}

void CallRunner::takeChunk(Flight &flight, HostLink &link, const proto::ResponseChunk &chunk, TimePoint now)
{
    EntryAttempt &attempt = *flight.attempt;
    const std::uint64_t before = attempt.relay.nextSequence();
    const std::string text = attempt.relay.take(chunk.sequence(), chunk.data());
    if (before == 0 && attempt.relay.nextSequence() > 0) {
        m_reporter.firstPart(flight, now);
    }
    if (attempt.relay.gap()) {
        requestMissingChunks(flight, link);
    }
    if (before / ChunksPerAck != attempt.relay.nextSequence() / ChunksPerAck) {
        proto::Envelope ack;
        ack.mutable_chunk_ack()->set_attempt_id(attempt.id);
        ack.mutable_chunk_ack()->set_next_sequence(attempt.relay.nextSequence());
        send(link, ack);
    }
    deliver(flight, text, now);
}

// Ends the flight when the caller cannot accept more data, so code that calls deliver() must not use
// the flight afterwards.
void CallRunner::deliver(Flight &flight, const std::string &text, TimePoint now)
{
    if (text.empty()) {
        return;
    }
    if (!flight.call.stream) {
        flight.wholeBody += text;
        if (flight.wholeBody.size() > m_settings.maxWholeAnswerBytes) {
            cancelAttempt(flight);
            const std::string message = "the answer exceeds " + std::to_string(m_settings.maxWholeAnswerBytes)
                + " bytes";
            refuse(flight, {{ResultCode::TargetFailed, message}, RunState::Ran, Duration::zero()}, now);
        }
        return;
    }
    if (!flight.headSent) {
        flight.headSent = true;
        flight.responder->begin(static_cast<int>(flight.attempt->status),
                                {{"content-type", flight.attempt->contentType},
                                 {"cache-control", "no-cache"},
                                 {"x-request-id", flight.call.requestId}});
    }
    flight.responder->write(text);
    if (flight.responder->pendingBytes() > m_settings.maxUnreadBytes) {
        callerGone(flight.call.requestId, now);
    }
}

void CallRunner::takeEnd(Flight &flight, HostLink &link, const proto::ResponseEnd &end, TimePoint now)
{
    EntryAttempt &attempt = *flight.attempt;
    if (end.result_code() == 0) {
        attempt.relay.finish(end.chunks());
        if (attempt.relay.complete()) {
            m_reporter.answered(flight, end, now);
            settleBudget(flight, static_cast<double>(end.tokens_used()), now);
            finish(flight, now);
        } else {
            requestMissingChunks(flight, link);
        }
        return;
    }
    failAttempt(flight, refusalOf(end), now);
}

void CallRunner::failAttempt(Flight &flight, const CallRefusal &refusal, TimePoint now)
{
    if (!mayRetry(flight, refusal, m_settings.maxAttempts, now)) {
        refuse(flight, refusal, now);
        return;
    }
    endAttempt(flight);
    flight.wholeBody.clear();
    HostLink *link = m_router.choose(flight.call, flight.triedHosts);
    if (link == nullptr || !sendAttempt(flight, *link, now)) {
        refuse(flight, refusal, now);
        return;
    }
    m_reporter.retried(flight);
}

void CallRunner::cancelAttempt(Flight &flight)
{
    if (!flight.attempt) {
        return;
    }
    if (HostLink *link = m_directory.find(flight.attempt->host)) {
        proto::Envelope cancel;
        cancel.mutable_cancel()->set_attempt_id(flight.attempt->id);
        send(*link, cancel);
    }
    endAttempt(flight);
}

void CallRunner::endAttempt(Flight &flight)
{
    if (flight.attempt) {
        m_router.noteEnded(flight.attempt->host, flight.attempt->id);
        m_table.clearAttempt(flight);
    }
}

void CallRunner::requestMissingChunks(Flight &flight, HostLink &link)
{
    proto::Envelope resume;
    resume.mutable_resume()->set_attempt_id(flight.attempt->id);
    resume.mutable_resume()->set_next_sequence(flight.attempt->relay.nextSequence());
    send(link, resume);
}

void CallRunner::linkReconnected(HostLink &link)
{
    const std::string &host = link.host().host;
    const auto requestIds = m_table.select(
        [&host](const Flight &flight) { return flight.attempt && flight.attempt->host == host; });
    for (const std::string &requestId : requestIds) {
        requestMissingChunks(*m_table.find(requestId), link);
    }
}

void CallRunner::hostLost(const std::string &host, TimePoint now)
{
    const auto requestIds = m_table.select(
        [&host](const Flight &flight) { return flight.attempt && flight.attempt->host == host; });
    for (const std::string &requestId : requestIds) {
        Flight &flight = *m_table.find(requestId);
        cancelAttempt(flight);
        const Error error{ResultCode::PeerSilent, "host " + host + " does not answer"};
        failAttempt(flight, {error, RunState::Unknown, Duration::zero()}, now);
    }
}

bool CallRunner::send(HostLink &link, proto::Envelope &envelope)
{
    envelope.set_sender(m_settings.instance);
    envelope.set_state_offset(m_state->nextOffset());
    envelope.set_logical_time(m_timeline.stamp());
    return link.peer().send(envelope);
}

} // namespace celeryroute
