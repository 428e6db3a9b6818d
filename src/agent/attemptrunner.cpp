#include <celeryroute/detail/agent/attemptrunner.h>
#include <celeryroute/detail/agent/submitcheck.h>
#include <celeryroute/detail/state/specconversion.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t DefaultMaxConcurrent = 8;
constexpr std::size_t DefaultMaxQueued = 256;
constexpr std::size_t MaxEndedAttempts = 20'000;
/// Time for which an ended attempt is kept for receivers that missed part of its answer.
constexpr Duration EndedRetention = std::chrono::seconds(60);
/// Time for which the id of an ended attempt is kept, so that a late duplicate of its message is not executed.
constexpr Duration IdRetention = std::chrono::minutes(10);

} // namespace

AttemptRunner::AttemptRunner(AttemptDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{}

void AttemptRunner::updateView(const AgentView &view)
{
    m_view = view;
    if (!view.pool) {
        return;
    }
    m_pool = view.pool;
    QueueLimits limits;
    limits.maxRunning = m_pool->maxConcurrent > 0 ? m_pool->maxConcurrent : DefaultMaxConcurrent;
    limits.maxQueued = m_pool->maxQueued > 0 ? m_pool->maxQueued : DefaultMaxQueued;
    limits.maxBytes = m_dependencies.settings.maxQueuedBytes;
    if (!m_queue) {
        m_queue = std::make_unique<AdmissionQueue>(limits);
    }
}

void AttemptRunner::beginStopping()
{
    m_stopping = true;
}

void AttemptRunner::submit(const PeerMessage &message, TimePoint now)
{
    const proto::SubmitRequest &submit = message.envelope->submit();
    if (const AttemptPointer known = find(submit.attempt_id())) {
        proto::ResumeStream again;
        again.set_attempt_id(submit.attempt_id());
        resume(message.connection, again);
        return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->envelope = message.envelope;
    attempt->connection = message.connection;
    attempt->arrivedAt = now;
    attempt->deadline = now + std::chrono::milliseconds(submit.remaining_ms());
    m_attempts.emplace(submit.attempt_id(), attempt);
    ++m_live;
    emit(AgentEventKind::Submitted, *attempt);
    admit(attempt, now);
}

void AttemptRunner::admit(const AttemptPointer &attempt, TimePoint now)
{
    const proto::SubmitRequest &submit = attempt->submit();
    const SubmitContext context{m_view, m_dependencies.settings.pool, m_stopping, m_dependencies.monitor.usable()};
    if (std::optional<Error> error = checkSubmit(*attempt->envelope, context)) {
        finish(attempt, Outcome{*error}, now);
        return;
    }
    const SuspectStatus verdict = m_dependencies.suspicions.verdict(submit.request_digest());
    if (verdict == SuspectStatus::Quarantined) {
        finish(attempt, Outcome{Error{ResultCode::RequestQuarantined, "this request has crashed targets"}}, now);
        return;
    }
    attempt->suspect = submit.suspect() || verdict == SuspectStatus::Suspect;
    if (!submit.claim_id().empty() && !m_claims.take(submit.claim_id())) {
        const Error error{ResultCode::ClaimInProgress, "this claim was given to the agent before"};
        finish(attempt, Outcome{error, proto::RUN_UNKNOWN}, now);
        return;
    }
    if (isEngine() && !admitModel(attempt, now)) {
        return;
    }
    refuseAll(m_queue->submit(queueEntry(*attempt), now), now);
}

bool AttemptRunner::admitModel(const AttemptPointer &attempt, TimePoint now)
{
    const std::string &item = attempt->submit().model();
    const LoadDemand demand{static_cast<int>(urgencyIndex(fromProto(attempt->submit().urgency()))), attempt->deadline};
    switch (m_dependencies.residency.demand(item, demand, now)) {
    case Readiness::Ready:
        m_dependencies.residency.beginUse(item, now);
        attempt->pinned = true;
        m_queue->setModelReady(item);
        return true;
    case Readiness::Waiting:
        attempt->waitsForLoad = true;
        attempt->cold = true;
        if (m_dependencies.residency.ledger().phase(item) != ItemPhase::Loading) {
            m_queue->setModelAbsent(item);
        }
        return true;
    case Readiness::NotAuthorized:
        break;
    }
    const Error error{ResultCode::NotAuthorized, absl::StrCat("this host may not hold ", item)};
    finish(attempt, Outcome{error}, now);
    return false;
}

QueueEntry AttemptRunner::queueEntry(const Attempt &attempt) const
{
    const proto::SubmitRequest &submit = attempt.submit();
    QueueEntry entry;
    entry.attemptId = submit.attempt_id();
    entry.customer = submit.customer();
    entry.model = isEngine() ? submit.model() : std::string();
    entry.urgency = fromProto(submit.urgency());
    entry.weight = submit.weight() > 0 ? submit.weight() : 1;
    entry.tokens = submit.reserved_tokens();
    entry.bytes = submit.body().size();
    entry.deadline = attempt.deadline;
    entry.serviceTime = m_serviceTimes.expected(isEngine() ? submit.model() : submit.route());
    entry.suspect = attempt.suspect;
    return entry;
}

void AttemptRunner::refuseAll(const std::vector<RefusedEntry> &refused, TimePoint now)
{
    for (const RefusedEntry &entry : refused) {
        if (const AttemptPointer attempt = find(entry.entry.attemptId)) {
            const Error error{entry.code, absl::StrCat("refused by the queue of ", m_dependencies.settings.host)};
            finish(attempt, Outcome{error, proto::NOT_RUN, false, entry.retryAfter}, now);
        }
    }
}

void AttemptRunner::cancel(const proto::CancelRequest &request, TimePoint now)
{
    const AttemptPointer attempt = find(request.attempt_id());
    if (!attempt || attempt->phase == AttemptPhase::Ended) {
        return;
    }
    emit(AgentEventKind::Cancelled, *attempt);
    const bool queued = attempt->phase == AttemptPhase::Queued;
    cutCall(attempt);
    const Error error{ResultCode::Cancelled, "cancelled by the entry"};
    finish(attempt, Outcome{error, queued ? proto::NOT_RUN : proto::RUN_UNKNOWN}, now);
}

void AttemptRunner::resume(const std::string &connection, const proto::ResumeStream &request)
{
    const AttemptPointer attempt = find(request.attempt_id());
    if (!attempt) {
        // The attempt is unknown, so whether it was executed is unknown too.
        proto::Envelope envelope;
        proto::ResponseEnd *end = envelope.mutable_response_end();
        end->set_attempt_id(request.attempt_id());
        end->set_result_code(static_cast<std::uint32_t>(ResultCode::OutcomeUnknown));
        end->set_message("this agent does not know the attempt");
        end->set_run(proto::RUN_UNKNOWN);
        m_dependencies.gateway.send(connection, envelope);
        return;
    }
    attempt->connection = connection;
    const bool whole = attempt->chunks.has(request.next_sequence());
    if (whole && attempt->head) {
        sendHead(*attempt);
    }
    for (const SequencedChunk &chunk : attempt->chunks.from(request.next_sequence())) {
        sendChunk(*attempt, chunk);
    }
    if (attempt->end) {
        sendEnd(*attempt);
    }
}

void AttemptRunner::acknowledge(const proto::ChunkAck &ack)
{
    if (const AttemptPointer attempt = find(ack.attempt_id())) {
        attempt->chunks.acknowledge(ack.next_sequence());
    }
}

void AttemptRunner::step(TimePoint now)
{
    if (!m_queue) {
        return;
    }
    refuseAll(m_queue->expire(now), now);
    checkDeadlines(now);
    while (m_dependencies.monitor.usable()) {
        const StartDecision decision = m_queue->start(now);
        refuseAll(decision.refused, now);
        if (!decision.started) {
            break;
        }
        dispatch(find(decision.started->attemptId), now);
    }
    forgetOld(now);
}

void AttemptRunner::checkDeadlines(TimePoint now)
{
    std::vector<AttemptPointer> late;
    for (const auto &[id, attempt] : m_attempts) {
        const bool open = attempt->phase == AttemptPhase::Running || attempt->phase == AttemptPhase::Suspended;
        if (open && !attempt->headSent && attempt->deadline <= now) {
            late.push_back(attempt);
        }
    }
    for (const AttemptPointer &attempt : late) {
        cutCall(attempt);
        const Error error{ResultCode::DeadlineExceeded, "the target did not answer before the deadline"};
        finish(attempt, Outcome{error, proto::RUN_UNKNOWN}, now);
    }
}

void AttemptRunner::finish(const AttemptPointer &attempt, Outcome outcome, TimePoint now)
{
    const bool answered = outcome.error.code == ResultCode::Ok;
    const proto::SubmitRequest &submit = attempt->submit();
    const bool ran = outcome.run != proto::NOT_RUN;
    const std::uint64_t tokens = ran ? attempt->meter.tokensUsed(submit.prompt_tokens(), submit.reserved_tokens()) : 0;
    if (answered) {
        m_serviceTimes.record(isEngine() ? submit.model() : submit.route(), now - attempt->startedAt);
        if (attempt->suspect) {
            m_dependencies.suspicions.finishedAlone(submit.request_digest());
        }
    }
    release(attempt, tokens, now);
    proto::ResponseEnd end;
    end.set_attempt_id(attempt->id());
    end.set_chunks(attempt->chunks.nextSequence());
    end.set_result_code(static_cast<std::uint32_t>(outcome.error.code));
    end.set_message(outcome.error.message);
    end.set_run(outcome.run);
    end.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(outcome.retryAfter)));
    end.set_tokens_used(tokens);
    end.set_target_crashed(outcome.targetCrashed);
    end.set_cold(attempt->cold);
    end.set_load_wait_ms(static_cast<std::uint32_t>(toMilliseconds(attempt->loadWait)));
    attempt->end = std::move(end);
    sendEnd(*attempt);
    emit(answered || ran ? AgentEventKind::Ended : AgentEventKind::Refused, *attempt, outcome.error.message);
}

void AttemptRunner::release(const AttemptPointer &attempt, std::uint64_t tokens, TimePoint now)
{
    const AttemptPhase before = std::exchange(attempt->phase, AttemptPhase::Ended);
    const std::string &item = attempt->submit().model();
    if (m_queue && before == AttemptPhase::Queued) {
        m_queue->cancel(attempt->id());
    } else if (m_queue) {
        m_queue->finish(attempt->id(), tokens);
    }
    if (std::exchange(attempt->pinned, false)) {
        m_dependencies.residency.endUse(item, now);
    }
    if (std::exchange(attempt->waitsForLoad, false)) {
        m_dependencies.residency.withdrawDemand(item);
    }
    attempt->endedAt = now;
    m_ended.push_back(attempt);
    --m_live;
}

void AttemptRunner::forgetOld(TimePoint now)
{
    while (!m_ended.empty()) {
        const AttemptPointer &oldest = m_ended.front();
        if (m_ended.size() <= MaxEndedAttempts && now - oldest->endedAt < EndedRetention) {
            return;
        }
        m_attempts.erase(oldest->id());
        m_ended.pop_front();
    }
}

std::size_t AttemptRunner::live() const
{
    return m_live;
}

void AttemptRunner::report(proto::TargetLoad &load) const
{
    if (!m_queue) {
        return;
    }
    load.set_running(static_cast<std::uint32_t>(m_queue->running()));
    load.set_queued(static_cast<std::uint32_t>(m_queue->waiting()));
    load.set_queued_tokens(m_queue->waitingTokens());
    load.set_max_concurrent(m_pool->maxConcurrent);
}

AttemptRunner::AttemptPointer AttemptRunner::find(const std::string &id) const
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second;
}

bool AttemptRunner::isEngine() const
{
    return m_pool && m_pool->kind == PoolKind::Engine;
}

void AttemptRunner::emit(AgentEventKind kind, const Attempt &attempt, std::string detail)
{
    const proto::SubmitRequest &submit = attempt.submit();
    m_dependencies.event(AgentEvent{kind,
                                    submit.request_id(),
                                    submit.attempt_id(),
                                    submit.customer(),
                                    submit.route(),
                                    submit.model(),
                                    std::move(detail)});
}

} // namespace celeryroute
