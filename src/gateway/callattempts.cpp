#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/gateway/targethead.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <charconv>

namespace celeryroute {

namespace {

constexpr std::uint32_t MaxSends = 4; ///< Of one call, also those that provably did not run.
constexpr Duration RoomRetryAfter = std::chrono::milliseconds(200);

std::string_view reasonOf(RefuseReason reason)
{
    switch (reason) {
    case RefuseReason::UnknownModel:
        return reasons::NotLoaded;
    case RefuseReason::TooLarge:
        return reasons::ModelTooLarge;
    case RefuseReason::NoTargets:
        return reasons::NoTarget;
    case RefuseReason::TooLate:
    case RefuseReason::VersionUnavailable:
        break;
    }
    return reasons::TooLate;
}

} // namespace

void Call::attempt()
{
    if (silenceLimit() <= m_gateway.loop().now()) {
        limitReached();
        return;
    }
    m_phase = Phase::Waiting;
    if (usesEngine()) {
        attemptEngine();
    } else {
        attemptPlain();
    }
}

bool Call::usesEngine() const
{
    const ServingPool *pool = m_table->state().pool(m_pool);
    return pool != nullptr && pool->engine && !m_fields.model.empty();
}

void Call::attemptPlain()
{
    const PlainServiceCall ask{m_pool, m_excluded, m_route->repeatable()};
    const PlainVerdict verdict = m_gateway.plainChooser().choose(ask, m_gateway.loop().now());
    std::visit([this](const auto &chosen) { decide(chosen); }, verdict);
}

void Call::attemptEngine()
{
    const EngineDecision decision = m_gateway.engineChooser().choose(engineCall(), m_gateway.loop().now());
    m_asked = true;
    if (decision.extraLoad) {
        m_gateway.wantSpare(*decision.extraLoad);
    }
    std::visit([this](const auto &chosen) { decide(chosen); }, decision.verdict);
}

EngineCall Call::engineCall() const
{
    EngineCall call;
    call.pool = m_pool;
    call.model = m_fields.model;
    call.adapter = m_fields.adapter;
    for (const auto &[id, tokens] : m_fields.promptParts) {
        call.parts.push_back({id, tokens});
    }
    call.promptTokens = m_fields.promptTokens;
    call.maxOutputTokens = m_fields.maxOutputTokens;
    call.lengthHint = m_fields.lengthHint;
    call.priority = m_customer != nullptr ? m_customer->priority.value_or(m_route->priority) : m_route->priority;
    call.remaining = silenceLimit() - m_gateway.loop().now();
    call.targetLatency = m_route->targetLatency;
    call.excluded = m_excluded;
    call.decidedBefore = m_asked;
    call.waited = m_gateway.loop().now() - m_request.received;
    call.callsWaiting = m_gateway.queue().waitingForRoom(m_pool, m_fields.model, call.priority);
    const WaitingCall *own = m_gateway.queue().find(m_number);
    if (own != nullptr && own->loadTarget.empty() && call.callsWaiting > 0) {
        --call.callsWaiting;
    }
    if (!m_version.empty() && begun()) {
        std::uint64_t version = 0;
        std::from_chars(m_version.data(), m_version.data() + m_version.size(), version);
        call.weightsVersion = version;
    }
    return call;
}

void Call::decide(const SendTo &verdict)
{
    send(verdict.target);
}

void Call::decide(const WaitForLoad &verdict)
{
    wait(verdict.item, verdict.target, verdict.expected);
}

void Call::decide(const WaitForRoom &verdict)
{
    wait(itemKey(m_fields.model, m_fields.adapter), {}, verdict.expected);
}

void Call::decide(const Refuse &verdict)
{
    if (m_sends > 0) {
        failFinally(begun() || m_againFor.empty() ? reasons::NoSuccessor : m_againFor);
        return;
    }
    refuse(HttpStatus::ServiceUnavailable, reasonOf(verdict.reason), verdict.retryAfter);
}

void Call::wait(const std::string &item, const std::string &target, Duration expected)
{
    WaitingCall waiting;
    waiting.call = m_number;
    waiting.pool = m_pool;
    waiting.item = item;
    waiting.loadTarget = target;
    waiting.priority = m_customer != nullptr ? m_customer->priority.value_or(m_route->priority) : m_route->priority;
    waiting.since = m_request.received;
    waiting.deadline = silenceLimit();
    const WaitingCall *before = m_gateway.queue().find(m_number);
    if (before == nullptr || before->loadTarget != target) {
        const KnownTarget *asked = m_gateway.book().target(target);
        const TimePoint now = m_gateway.loop().now();
        const auto heard = asked == nullptr ? std::nullopt : asked->heardMessage(now);
        const auto age = asked == nullptr ? std::nullopt : m_gateway.book().ageOf(*asked, now);
        m_gateway.log().write(DecisionEvent::RequestQueued,
                              now,
                              m_fields.requestId,
                              {{fieldnames::Reason, target.empty() ? "room" : "load"},
                               {fieldnames::Item, item},
                               {fieldnames::Target, target},
                               {"expected_ms", expected},
                               {"limit_ms", waiting.deadline - now},
                               {"target_age_ms", age},
                               {fieldnames::StateVersion, m_table->state().version},
                               {fieldnames::Message, m_gateway.nextMessage()},
                               {fieldnames::HeardIncarnation, incarnationOf(heard)},
                               {fieldnames::HeardMessage, messageOf(heard)}});
    }
    m_gateway.waiting(waiting);
}

void Call::reconsider()
{
    if (m_phase == Phase::Waiting && stateHolds()) {
        attempt();
    }
}

std::optional<TargetRequest> Call::targetRequest(const KnownTarget &target)
{
    TargetFields fields;
    fields.instance = target.record.id;
    fields.customer = m_customerName;
    fields.remaining = remaining();
    fields.priority = m_customer != nullptr ? m_customer->priority.value_or(m_route->priority) : m_route->priority;
    fields.bodyLength = m_request.body.size();
    if (begun()) {
        fields.lastEventId = m_events.lastId();
        if (!m_version.empty()) {
            fields.weightsVersion = m_version;
        }
    }
    TargetRequest request;
    request.head = targetRequestHead(m_request.head, fields, m_gateway.names());
    request.body = m_request.body;
    request.id = m_fields.requestId;
    request.withoutAnswerBody = m_request.head.method == "HEAD";
    request.exclusive = !m_route->repeatable();
    return request;
}

void Call::send(const std::string &targetId)
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.queue().remove(m_number);
    const KnownTarget *target = m_gateway.book().target(targetId);
    const auto endpoint = target == nullptr ? std::nullopt : parseEndpoint(target->record.address);
    if (!endpoint) {
        m_excluded.push_back(targetId);
        tryAgain(reasons::NoTarget);
        return;
    }
    // The process may have stood still since the call was admitted.
    if (m_customer != nullptr && !m_gateway.admission().keysFresh(bootTimeNow())) {
        if (m_sends > 0) {
            failFinally(reasons::KeysStale);
        } else {
            refuse(HttpStatus::ServiceUnavailable, reasons::KeysStale, RoomRetryAfter);
        }
        return;
    }
    // What it did elsewhere may have become known since.
    if (heldBack()) {
        return;
    }
    if (m_arrivals == 0) {
        m_gateway.admission().noteFirstSend(m_pool, now);
    } else if (!m_gateway.admission().takeFurtherSend(m_pool, now)) {
        m_gateway.metrics().countRetryWithheld();
        failFinally(reasons::RetryAllowance);
        return;
    }
    ++m_sends;
    ++m_arrivals;
    if (begun()) {
        logResumed(targetId);
    }
    m_target = targetId;
    m_targetBornMs = target->bornMs;
    m_sentAt = now;
    m_lastProgress = now;
    m_held = false;
    m_answer = {};
    m_phase = begun() ? Phase::Streaming : Phase::Sent;
    const ServingPool *pool = m_table->state().pool(m_pool);
    m_ticket = pool != nullptr && pool->engine ? m_gateway.book().noteSent(targetId, engineCall(), now)
                                               : m_gateway.book().noteSent(targetId, now);
    m_ticketOpen = true;
    const auto heard = target->heardMessage(now);
    const std::uint64_t read = pool != nullptr && pool->engine ? m_gateway.book().uncachedTokens(m_ticket) : 0;
    const std::uint64_t cached = pool != nullptr && pool->engine ? m_fields.promptTokens - read : 0;
    m_gateway.metrics().countPromptTokens(cached, read);
    m_gateway.log().write(DecisionEvent::RequestSent,
                          now,
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_sends},
                           {fieldnames::Target, targetId},
                           {"kind", labelValue(m_route->kind)},
                           {fieldnames::Customer, m_customerName},
                           {"route", m_route->name},
                           {fieldnames::Item, itemKey(m_fields.model, m_fields.adapter)},
                           {"remaining_ms", remaining()},
                           {"cached_tokens", cached},
                           {"prompt_tokens", m_fields.promptTokens},
                           {"in_flight", target->own.calls},
                           {"target_age_ms", m_gateway.book().ageOf(*target, now)},
                           {fieldnames::StateVersion, m_table->state().version},
                           {fieldnames::HeardIncarnation, incarnationOf(heard)},
                           {fieldnames::HeardMessage, messageOf(heard)}});
    m_gateway.metrics().countSend(m_route->kind);
    m_exchange = &m_gateway.channels().start(*endpoint, *targetRequest(*target), *this);
    m_gateway.noteDemand(targetId, false);
    armStall();
}

void Call::logResumed(const std::string &targetId)
{
    m_gateway.log().write(DecisionEvent::RequestResumed,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_sends},
                           {fieldnames::Target, targetId},
                           {"from_target", m_target},
                           {"last_event", m_events.lastId()},
                           {"weights", m_version},
                           {fieldnames::Reason, m_againFor}});
}

bool Call::mayRunAgain() const
{
    const bool resumable = !begun() || !m_events.lastId().empty();
    return m_route->repeatable() && resumable && m_runs < m_route->maxAttempts && m_sends < MaxSends;
}

void Call::endAttempt(CallEnd end)
{
    m_gateway.loop().cancel(m_stallTimer);
    m_stallTimer = 0;
    if (m_exchange != nullptr) {
        m_exchange->abandon();
        m_exchange = nullptr;
    }
    if (m_ticketOpen) {
        m_ticketOpen = false;
        const ChangedModels changed = m_gateway.book().noteEnded(m_ticket, end, m_gateway.loop().now());
        m_gateway.noteDemand(m_target, false);
        if (!changed.empty()) {
            m_gateway.loop().defer([&gateway = m_gateway, changed] { gateway.targetsChanged(changed); });
        }
    }
}

void Call::tryAgain(std::string_view reason)
{
    if (m_caller == nullptr) {
        callerLeft(); // While it was at the target; nobody waits for another try.
        return;
    }
    m_againFor = reason;
    m_gateway.metrics().countRetry(reason);
    m_gateway.log().write(DecisionEvent::RequestRepeated,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_sends},
                           {fieldnames::Target, m_target},
                           {fieldnames::Reason, reason},
                           {"not_run", m_runs == 0},
                           {"allowance", m_gateway.admission().furtherSendsLeft(m_pool, m_gateway.loop().now())}});
    if (m_sends >= MaxSends) {
        failFinally(reason);
        return;
    }
    if (stateHolds()) {
        attempt();
    }
}

void Call::exchangeFailed(ExchangeFailure failure)
{
    m_exchange = nullptr;
    const bool sent = failure != ExchangeFailure::NotConnected && failure != ExchangeFailure::NotSent;
    m_arrivals -= sent ? 0 : 1;
    if (sent && !m_answer.notRun) {
        ++m_runs;
        m_gateway.noteUnanswered({m_digest, m_target, m_targetBornMs, m_sentAt, m_fields.requestId});
    } else if (failure == ExchangeFailure::NotConnected) {
        m_gateway.targetDied(m_target);
    }
    const bool torn = failure == ExchangeFailure::Torn || failure == ExchangeFailure::Malformed;
    endAttempt(torn ? CallEnd::Failed : CallEnd::Unreachable);
    m_excluded.push_back(m_target);
    const std::string_view reason = m_answer.notRun ? reasons::TargetRefused
        : failure == ExchangeFailure::Malformed     ? reasons::AnswerGarbled
                                                    : reasons::ConnectionLost;
    if (!sent || m_answer.notRun || mayRunAgain()) {
        tryAgain(reason);
        return;
    }
    failFinally(reason);
}

} // namespace celeryroute
