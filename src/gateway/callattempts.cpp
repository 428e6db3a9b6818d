#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/answerlimits.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/gateway/targethead.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::uint32_t MaxSends = 4; ///< Limit per call; also counts sends that no target ran.

} // namespace
TargetRequest Call::targetRequest(const KnownTarget &target)
{
    TargetFields fields;
    fields.instance = target.record.id;
    fields.customer = m_customerName;
    fields.remaining = remaining();
    fields.priority = priority();
    fields.bodyLength = m_body->size();
    if (hasStreamed()) {
        fields.lastEventId = m_splitter.lastId();
        if (!m_weightsVersion.empty()) {
            fields.weightsVersion = m_weightsVersion;
        }
    }
    TargetRequest request;
    request.head = targetRequestHead(m_request.head, fields, m_gateway.names());
    request.sharedBody = m_body;
    request.id = m_fields.requestId;
    request.withoutAnswerBody = m_request.head.method == "HEAD";
    return request;
}

void Call::send(const std::string &targetId)
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.queue().remove(m_number);
    const KnownTarget *target = m_gateway.targetTable().target(targetId);
    const auto endpoint = target == nullptr ? std::nullopt : parseEndpoint(target->record.address);
    if (!endpoint) {
        m_excluded.push_back(targetId);
        retry(reasons::NoTarget);
        return;
    }
    // If the process was suspended after the call was admitted, the keys may have become stale.
    if (m_customer != nullptr && !m_gateway.admission().areKeysFresh(bootTimeNow())) {
        if (!m_attempts.empty()) {
            failCall(reasons::KeysStale);
        } else {
            refuse(HttpStatus::ServiceUnavailable, reasons::KeysStale, DefaultRetryAfter);
        }
        return;
    }
    // Since admission, other entries may have reported crashes of targets that ran this request.
    if (refuseIfQuarantined()) {
        return;
    }
    if (!m_gateway.targetTable().limits().use(targetId, bootTimeNow())) {
        m_phase = Phase::Waiting;
        waitForRoom({Duration::zero(), targetId});
        return;
    }
    if (m_possibleArrivals == 0) {
        m_gateway.admission().noteFirstSend(m_pool, now);
    } else if (!m_gateway.admission().takeRetry(m_pool, now)) {
        m_gateway.metrics().countRetryWithheld();
        failCall(reasons::RetryAllowance);
        return;
    }
    const std::string previous = lastTarget();
    m_readingPaused = false;
    m_phase = hasStreamed() ? Phase::Streaming : Phase::Sent;
    m_current = &startAttempt(*target, *endpoint);
    if (hasStreamed()) {
        logResumed(previous);
    }
    startStallTimer();
}

TargetAttempt &Call::startAttempt(const KnownTarget &target, const Endpoint &endpoint)
{
    const TimePoint now = m_gateway.loop().now();
    const std::string id = target.record.id;
    const ServingPool *pool = m_table->state().pool(m_pool);
    const bool isEngine = pool != nullptr && pool->engine;
    const CallTicket ticket = isEngine ? m_gateway.targetTable().noteSent(id, engineCall(m_excluded), now)
                                       : m_gateway.targetTable().noteSent(id, now);
    const auto number = static_cast<std::uint32_t>(m_attempts.size() + 1);
    const AttemptDestination destination{id, target.bornMs, target.record.softwareVersion, number, now};
    AttemptUser &user = *this;
    m_attempts.push_back(
        std::make_unique<TargetAttempt>(m_gateway.loop(), m_gateway.answerBuffers(), user, destination, ticket));
    ++m_possibleArrivals;
    const auto heard = target.heardMessage(now);
    const std::uint64_t read = isEngine ? m_gateway.targetTable().uncachedTokens(ticket) : 0;
    const std::uint64_t cached = isEngine ? m_fields.promptTokens - read : 0;
    m_gateway.metrics().countPromptTokens(cached, read);
    m_gateway.log().write(DecisionEvent::RequestSent,
                          now,
                          m_fields.requestId,
                          {{fieldnames::Attempt, number},
                           {fieldnames::Target, id},
                           {"kind", labelValue(m_route->kind)},
                           {fieldnames::Customer, m_customerName},
                           {"route", m_route->name},
                           {fieldnames::Item, itemKey(m_fields.model, m_fields.adapter)},
                           {"remaining_ms", remaining()},
                           {"cached_tokens", cached},
                           {"prompt_tokens", m_fields.promptTokens},
                           {"in_flight", target.own.calls},
                           {"limit_per_second", m_gateway.targetTable().limits().perSecond(id, now)},
                           {"target_age_ms", m_gateway.targetTable().ageOf(target, now)},
                           {fieldnames::StateVersion, m_table->state().version},
                           {fieldnames::HeardIncarnation, incarnationOf(heard)},
                           {fieldnames::HeardMessage, messageOf(heard)}});
    m_gateway.metrics().countSend(m_route->kind);
    m_attempts.back()->start(m_gateway.channels(), endpoint, targetRequest(target));
    m_gateway.noteDemand(id, false);
    return *m_attempts.back();
}

void Call::logResumed(const std::string &fromTarget)
{
    m_gateway.log().write(DecisionEvent::RequestResumed,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_current->destination().number},
                           {fieldnames::Target, lastTarget()},
                           {"from_target", fromTarget},
                           {"last_event", m_splitter.lastId()},
                           {"weights", m_weightsVersion},
                           {"software", m_softwareVersion.value_or("")},
                           {fieldnames::Reason, m_retryReason}});
}

std::string Call::lastTarget() const
{
    return m_current == nullptr ? std::string() : m_current->destination().target;
}

bool Call::mayRetry() const
{
    const bool resumable = !hasStreamed() || !m_splitter.lastId().empty();
    return m_route->isRepeatable() && resumable && m_possibleRuns < m_route->maxAttempts
        && m_attempts.size() < MaxSends;
}

void Call::endAttempt(TargetAttempt &attempt, CallEnd end)
{
    attempt.abandon();
    if (const std::optional<CallTicket> ticket = attempt.takeTicket()) {
        const ChangedModels changed = m_gateway.targetTable().noteEnded(*ticket, end, m_gateway.loop().now());
        m_gateway.noteDemand(attempt.destination().target, false);
        if (!changed.empty()) {
            m_gateway.loop().defer([&gateway = m_gateway, changed] { gateway.targetsChanged(changed); });
        }
    }
}

void Call::endAttempts()
{
    m_gateway.loop().cancel(m_stallTimer);
    m_stallTimer = 0;
    for (TargetAttempt *attempt : {m_current, m_hedge}) {
        if (attempt != nullptr) {
            endAttempt(*attempt, CallEnd::Abandoned);
        }
    }
    m_hedge = nullptr;
}

void Call::exclude(const TargetAttempt &attempt)
{
    m_excluded.push_back(attempt.destination().target);
}

void Call::retry(std::string_view reason)
{
    if (m_caller == nullptr) {
        callerLeft(); // The caller disconnected while the target handled the call, so no retry is needed.
        return;
    }
    m_retryReason = reason;
    m_gateway.metrics().countRetry(reason);
    m_gateway.log().write(DecisionEvent::RequestRepeated,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_attempts.size()},
                           {fieldnames::Target, lastTarget()},
                           {fieldnames::Reason, reason},
                           {"not_run", m_possibleRuns == 0},
                           {"allowance", m_gateway.admission().retriesLeft(m_pool, m_gateway.loop().now())}});
    if (m_attempts.size() >= MaxSends) {
        failCall(reason);
        return;
    }
    if (resolveRouteAndCustomer()) {
        chooseTarget();
    }
}

void Call::attemptFailed(TargetAttempt &attempt, ExchangeFailure failure)
{
    const AttemptDestination &destination = attempt.destination();
    const bool notRun = attempt.answer().notRun;
    const bool sent = failure != ExchangeFailure::NotConnected && failure != ExchangeFailure::NotSent;
    m_possibleArrivals -= sent ? 0 : 1;
    const bool cutOff = failure == ExchangeFailure::Overlong || failure == ExchangeFailure::Dripping;
    if (cutOff) {
        noteCutOff(attempt, failure == ExchangeFailure::Overlong ? answerlimits::Framing : answerlimits::FramingTime);
        m_possibleRuns += notRun ? 0 : 1;
    } else if (sent && !notRun) {
        ++m_possibleRuns;
        m_gateway.noteUnanswered({m_requestDigest,
                                  destination.target,
                                  destination.bornMs,
                                  destination.sentAt,
                                  m_fields.requestId,
                                  m_sharedParts});
    } else if (failure == ExchangeFailure::NotConnected) {
        m_gateway.targetDied(destination.target);
    }
    const bool torn = cutOff || failure == ExchangeFailure::Torn || failure == ExchangeFailure::Malformed;
    endAttempt(attempt, torn ? CallEnd::Failed : CallEnd::Unreachable);
    exclude(attempt);
    const std::string_view reason = notRun      ? reasons::TargetRefused
        : cutOff                                ? reasons::AnswerCutOff
        : failure == ExchangeFailure::Malformed ? reasons::AnswerGarbled
                                                : reasons::ConnectionLost;
    attemptEnded(attempt, reason, !sent || notRun || mayRetry());
}

// Another attempt follows, unless one is in progress already.
void Call::attemptEnded(const TargetAttempt &attempt, std::string_view reason, bool mayFollow)
{
    if (&attempt == m_hedge) {
        hedgeFailed(reason);
    } else if (m_hedge != nullptr) {
        promoteHedge(reason);
    } else if (mayFollow) {
        retry(reason);
    } else {
        failCall(reason);
    }
}

} // namespace celeryroute
