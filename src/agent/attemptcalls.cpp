#include <celeryroute/detail/agent/attemptrunner.h>
#include <celeryroute/detail/agent/targetrequest.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

namespace {

constexpr unsigned MaxResumes = 3;
constexpr std::size_t MaxEventBytes = std::size_t{1024} * 1024;
constexpr std::size_t MaxUnacknowledgedBytes = std::size_t{32} * 1024 * 1024;
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpServerErrors = 500;

std::string field(const HttpFields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

/// Returns whether the status reports a failure of the engine rather than an answer for the caller.
bool engineFailed(int status)
{
    return status >= HttpServerErrors || status == HttpNotFound;
}

} // namespace

void AttemptRunner::dispatch(const AttemptPointer &attempt, TimePoint now)
{
    attempt->phase = AttemptPhase::Running;
    attempt->startedAt = now;
    emit(AgentEventKind::Dispatched, *attempt);
    startCall(attempt, now);
}

void AttemptRunner::startCall(const AttemptPointer &attempt, TimePoint now)
{
    attempt->callBegan = now;
    const HttpCall call = targetRequest(m_dependencies.settings,
                                        m_pool->kind,
                                        attempt->submit(),
                                        attempt->meter.events());
    HttpCallObserver observer;
    observer.onHead = [this, attempt](int status, const HttpFields &headers) { onHead(attempt, status, headers); };
    observer.onData = [this, attempt](const std::string &data) { onData(attempt, data); };
    observer.onEnd = [this, attempt](const HttpCallEnd &end) { onCallEnd(attempt, end, MonotonicClock::now()); };
    attempt->call = m_dependencies.client.start(call, std::move(observer));
}

void AttemptRunner::onHead(const AttemptPointer &attempt, int status, const HttpFields &headers)
{
    attempt->reachedTarget = true;
    const bool refused = isEngine() && (attempt->headSent ? status != HttpOk : engineFailed(status));
    if (refused) {
        m_dependencies.residency.requestInventory();
        cutCall(attempt);
        // The engine was replaced if it no longer knows a stream that it had started.
        const bool crashed = attempt->headSent && status == HttpNotFound;
        const Error error{ResultCode::TargetFailed, absl::StrCat("the target answered with status ", status)};
        finish(attempt, Outcome{error, proto::RUN_UNKNOWN, crashed}, MonotonicClock::now());
        return;
    }
    if (attempt->headSent) {
        return;
    }
    proto::ResponseHead head;
    head.set_attempt_id(attempt->id());
    head.set_status(static_cast<std::uint32_t>(status));
    head.set_content_type(field(headers, "content-type"));
    attempt->meter.begin(head.content_type());
    attempt->head = std::move(head);
    attempt->headSent = true;
    sendHead(*attempt);
}

void AttemptRunner::onData(const AttemptPointer &attempt, const std::string &data)
{
    if (attempt->phase != AttemptPhase::Running) {
        return;
    }
    std::string whole = attempt->meter.take(data);
    if (!whole.empty()) {
        attempt->resumes = 0;
        sendChunk(*attempt, attempt->chunks.append(std::move(whole)));
        if (attempt->chunks.unacknowledgedBytes() > MaxUnacknowledgedBytes) {
            cutCall(attempt);
            const Error error{ResultCode::TargetFailed, "the target sends more than the entry takes"};
            finish(attempt, Outcome{error, proto::RUN_UNKNOWN}, MonotonicClock::now());
            return;
        }
    }
    // Such an event is none, so the stream is broken off here and goes on like one whose connection was lost.
    if (attempt->meter.partialBytes() > MaxEventBytes) {
        m_dependencies.client.cancel(std::exchange(attempt->call, 0));
        suspend(attempt);
    }
}

void AttemptRunner::onCallEnd(const AttemptPointer &attempt, const HttpCallEnd &end, TimePoint now)
{
    if (attempt->phase != AttemptPhase::Running) {
        return;
    }
    attempt->call = 0;
    if (!end.error && !attempt->meter.isInsideEvent()) {
        attempt->meter.finish();
        finish(attempt, Outcome{Error{ResultCode::Ok, {}}, proto::RAN}, now);
        return;
    }
    attempt->reachedTarget = attempt->reachedTarget || end.connected;
    if (!attempt->reachedTarget) {
        m_dependencies.monitor.requestProbe();
        finish(attempt, Outcome{Error{ResultCode::TargetFailed, end.error->message}}, now);
        return;
    }
    // Before the head, the deadline limits the wait for a target that is silent but answers probes.
    if (!attempt->headSent && now - attempt->callBegan >= m_dependencies.settings.progressTimeout) {
        attempt->resumes = 0;
    }
    suspend(attempt);
}

void AttemptRunner::suspend(const AttemptPointer &attempt)
{
    attempt->phase = AttemptPhase::Suspended;
    attempt->meter.dropPartial();
    m_dependencies.residency.requestInventory();
    m_dependencies.monitor.requestProbe();
}

bool AttemptRunner::resumable(const Attempt &attempt) const
{
    const bool position = attempt.meter.isEventStream() || !attempt.headSent;
    return isEngine() && position && attempt.resumes < MaxResumes;
}

/// Returns whether a service's call should be left to another target. A service can't resume calls, so silence alone is
/// no reason.
bool AttemptRunner::isUnanswered(const Attempt &attempt, TimePoint now) const
{
    return !isEngine() && attempt.phase == AttemptPhase::Running && !attempt.headSent && attempt.submit().repeatable()
        && m_silentProbes > MaxResumes && now - attempt.startedAt >= m_dependencies.settings.progressTimeout;
}

void AttemptRunner::targetProbed(TargetCondition condition, TimePoint now)
{
    m_silentProbes = condition == TargetCondition::Silent ? m_silentProbes + 1 : 0;
    if (condition == TargetCondition::Dead) {
        targetDied(now);
        return;
    }
    std::vector<AttemptPointer> suspended;
    std::vector<AttemptPointer> unanswered;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->phase == AttemptPhase::Suspended) {
            suspended.push_back(attempt);
        } else if (isUnanswered(*attempt, now)) {
            unanswered.push_back(attempt);
        }
    }
    for (const AttemptPointer &attempt : unanswered) {
        cutCall(attempt);
        const Error error{ResultCode::TargetTimeout, "the target answers neither the call nor probes"};
        finish(attempt, Outcome{error, proto::RUN_UNKNOWN}, now);
    }
    for (const AttemptPointer &attempt : suspended) {
        resumeOrFinish(attempt, condition, now);
    }
}

void AttemptRunner::targetDied(TimePoint now)
{
    std::vector<AttemptPointer> open;
    std::vector<std::string> digests;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->phase == AttemptPhase::Suspended || attempt->phase == AttemptPhase::Running) {
            open.push_back(attempt);
            digests.push_back(attempt->submit().request_digest());
        }
    }
    std::erase(digests, std::string());
    if (!digests.empty()) {
        m_dependencies.suspicions.targetDied(digests, now);
    }
    for (const AttemptPointer &attempt : open) {
        m_dependencies.client.cancel(std::exchange(attempt->call, 0));
        emit(AgentEventKind::CrashSuspected, *attempt);
        const Error error{ResultCode::TargetFailed, "the target died"};
        finish(attempt, Outcome{error, proto::RUN_UNKNOWN, true}, now);
    }
}

void AttemptRunner::resumeOrFinish(const AttemptPointer &attempt, TargetCondition condition, TimePoint now)
{
    // No other target can go on with an answer that has begun, so its target is awaited.
    const bool begun = attempt->headSent && resumable(*attempt);
    if (condition == TargetCondition::Silent && (begun || attempt->resumes < MaxResumes)) {
        attempt->resumes += begun ? 0 : 1;
        m_dependencies.monitor.requestProbe();
    } else if (condition == TargetCondition::Alive && resumable(*attempt)) {
        ++attempt->resumes;
        attempt->phase = AttemptPhase::Running;
        emit(AgentEventKind::Resumed, *attempt, absl::StrCat("from event ", attempt->meter.events()));
        startCall(attempt, now);
    } else {
        const bool silent = condition == TargetCondition::Silent;
        const ResultCode code = silent ? ResultCode::TargetTimeout : ResultCode::TargetFailed;
        finish(attempt, Outcome{Error{code, "the connection to the target was lost"}, proto::RUN_UNKNOWN}, now);
    }
}

void AttemptRunner::cutCall(const AttemptPointer &attempt)
{
    if (attempt->call == 0) {
        return;
    }
    m_dependencies.client.cancel(std::exchange(attempt->call, 0));
    if (isEngine()) {
        HttpCallObserver ignore;
        ignore.onHead = [](int, const HttpFields &) {};
        ignore.onData = [](const std::string &) {};
        ignore.onEnd = [](const HttpCallEnd &) {};
        m_dependencies.client.start(targetCancelRequest(m_dependencies.settings, attempt->id()), std::move(ignore));
    }
}

void AttemptRunner::sendHead(const Attempt &attempt)
{
    proto::Envelope envelope;
    *envelope.mutable_response_head() = *attempt.head;
    m_dependencies.gateway.send(attempt.connection, envelope);
}

void AttemptRunner::sendChunk(const Attempt &attempt, const SequencedChunk &chunk)
{
    proto::Envelope envelope;
    proto::ResponseChunk *message = envelope.mutable_response_chunk();
    message->set_attempt_id(attempt.id());
    message->set_sequence(chunk.sequence);
    message->set_data(chunk.data);
    m_dependencies.gateway.send(attempt.connection, envelope);
}

void AttemptRunner::sendEnd(const Attempt &attempt)
{
    proto::Envelope envelope;
    *envelope.mutable_response_end() = *attempt.end;
    m_dependencies.gateway.send(attempt.connection, envelope);
}

} // namespace celeryroute
