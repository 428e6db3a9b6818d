#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/telemetry/reasonnames.h>
#include <celeryroute/resultcode.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

std::string beginAnewBody()
{
    const ResultCodeInfo &info = resultCodeInfo(ResultCode::StreamNotResumable);
    return R"({"error": {"code": )" + std::to_string(static_cast<int>(info.code)) + R"(, "name": ")" + info.name
        + R"(", "message": ")" + info.meaning + R"(", "run": ")" + toString(RunState::NotRun) + R"("}})";
}

} // namespace

void Call::callerLeft()
{
    m_caller = nullptr;
    // An at-most-once call that was sent continues: aborting it would leave its outcome unknown.
    if (m_route != nullptr && m_route->kind == CallKind::AtMostOnce && isAttemptInProgress() && m_current->mayRun()) {
        return;
    }
    m_gateway.log().write(DecisionEvent::RequestAbandoned,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Target, lastTarget()},
                           {fieldnames::Attempt, m_attempts.size()},
                           {"total_ms", m_gateway.loop().now() - m_request.received},
                           {"events", m_splitter.eventCount()}});
    m_gateway.metrics().countRequest(m_route == nullptr ? CallKind::Idempotent : m_route->kind,
                                     RequestOutcome::Abandoned);
    if (!isAttemptInProgress()) {
        refundUnlessRun();
    }
    finish();
}

void Call::refuse(int status, std::string_view reason, Duration retryAfter)
{
    if (m_possibleRuns > 0) {
        failCall(reason); // A refusal would tell the caller that the call did not run.
        return;
    }
    const TimePoint now = m_gateway.loop().now();
    const AdmissionInputs inputs = m_gateway.admission().inputs(m_customerName, bootTimeNow());
    const bool spent = reason == reasons::Allowance || reason == reasons::BeyondBurst;
    const std::string loggedTarget = targetForLog();
    const KnownTarget *target = m_gateway.targetTable().target(loggedTarget);
    const auto heard = target == nullptr ? std::nullopt : target->heardMessage(now);
    const TargetPool *pool = m_gateway.targetTable().pool(m_pool);
    m_gateway.log().write(
        DecisionEvent::RequestRefused,
        now,
        m_fields.requestId,
        {{"status", status},
         {fieldnames::Reason, reason},
         {"kind", m_route == nullptr ? std::string_view() : labelValue(m_route->kind)},
         {fieldnames::Customer, m_customerName},
         {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
         {fieldnames::StateVersion, stateVersion()},
         {"keys_age_ms", inputs.keysAge},
         {"retry_after_ms", retryAfter},
         {"held_ms", now - m_request.received},
         {"level", spent ? std::optional(inputs.level) : std::nullopt},
         {"cost", spent ? std::optional(m_cost) : std::nullopt},
         {"share", spent ? std::optional(inputs.share) : std::nullopt},
         {fieldnames::Item, itemKey(m_fields.model, m_fields.adapter)},
         {fieldnames::Target, loggedTarget},
         {"targets", pool == nullptr ? std::nullopt : std::optional(pool->accepting.size())},
         {"target_age_ms", target == nullptr ? std::nullopt : m_gateway.targetTable().ageOf(*target, now)},
         {fieldnames::HeardIncarnation, incarnationOf(heard)},
         {fieldnames::HeardMessage, messageOf(heard)},
         {"crashes",
          reason == reasons::Suspect ? std::optional(m_gateway.suspects().crashes(m_requestDigest)) : std::nullopt},
         {"part", m_crashingPart}});
    m_gateway.metrics().countRefusal(reason);
    m_gateway.metrics().countRequest(m_route == nullptr ? CallKind::Idempotent : m_route->kind,
                                     RequestOutcome::Refused);
    const bool impliesNotRun = status == HttpStatus::ServiceUnavailable || status == HttpStatus::TooManyRequests;
    answerDirectly(status, impliesNotRun ? std::optional(retryAfter) : std::nullopt, reason);
}

std::string Call::targetForLog() const
{
    const WaitingCall *waiting = m_gateway.queue().find(m_number);
    if (waiting != nullptr && !waiting->permitTarget.empty()) {
        return waiting->permitTarget;
    }
    if (waiting != nullptr && !waiting->loadTarget.empty()) {
        return waiting->loadTarget;
    }
    return m_limitedTarget.empty() ? lastTarget() : m_limitedTarget;
}

// Before a route is found, this is the version of the state that was searched.
std::uint64_t Call::stateVersion() const
{
    const std::shared_ptr<const RouteTable> &table = m_table != nullptr ? m_table : m_gateway.table();
    return table == nullptr ? 0 : table->state().version;
}

void Call::answerDirectly(int status, std::optional<Duration> retryAfter, std::string_view reason)
{
    constexpr double MsPerSecond = 1000;
    constexpr double LeastRetryAfter = 0.05; // In seconds.
    constexpr std::size_t FractionDigits = 3;
    AnswerHead head{status, {}, {}};
    if (!m_fields.requestId.empty()) {
        head.fields.push_back({m_gateway.names().requestId, m_fields.requestId});
    }
    if (retryAfter) {
        const double seconds = std::max(LeastRetryAfter,
                                        static_cast<double>(toMilliseconds(*retryAfter)) / MsPerSecond);
        std::string text = std::to_string(seconds);
        text.resize(text.find('.') + 1 + FractionDigits);
        head.fields.push_back({"Retry-After", std::move(text)});
    }
    refundUnlessRun();
    std::string body;
    if (reason == reasons::StreamUnknown || reason == reasons::VersionLeft) {
        head.fields.push_back({"Content-Type", "application/json"});
        body = beginAnewBody();
    }
    answerCaller(head, body);
}

void Call::refundUnlessRun()
{
    if (m_charged && m_possibleRuns == 0) {
        m_gateway.admission().refund(m_customerName, m_cost, m_chargeStep, m_gateway.loop().now());
        m_charged = false;
    }
}

void Call::answerCaller(const AnswerHead &head, std::string_view body)
{
    if (m_caller != nullptr) {
        m_caller->answer(head, body);
    }
    finish();
}

void Call::finish()
{
    m_phase = Phase::Done;
    m_gateway.queue().remove(m_number);
    leaveAllowanceQueue();
    m_gateway.loop().cancel(m_deadlineTimer);
    m_deadlineTimer = 0;
    endAttempts();
    if (m_caller != nullptr && m_caller->unsent() > 0) {
        m_gateway.noteUnsentAnswer(*m_caller, m_fields.requestId);
    }
    m_caller = nullptr;
    m_gateway.finished(*this);
}

void Call::endIfWaiting(std::string_view reason)
{
    if (m_phase != Phase::Waiting) {
        return;
    }
    if (!m_attempts.empty()) {
        failCall(reason);
    } else {
        refuse(HttpStatus::ServiceUnavailable, reason, DefaultRetryAfter);
    }
}

void Call::failCall(std::string_view reason)
{
    const TimePoint now = m_gateway.loop().now();
    const CallKind kind = m_route == nullptr ? CallKind::Idempotent : m_route->kind;
    endAttempts();
    const auto total = toMilliseconds(now - m_request.received);
    if (hasStreamed()) {
        const TargetAnswer &answer = m_current->answer();
        m_gateway.log().write(DecisionEvent::RequestCut,
                              now,
                              m_fields.requestId,
                              {{fieldnames::Attempt, m_current->destination().number},
                               {fieldnames::Target, lastTarget()},
                               {fieldnames::Reason, reason},
                               {"kind", labelValue(kind)},
                               {fieldnames::Customer, m_customerName},
                               {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
                               {"events", m_splitter.eventCount()},
                               {"last_event", m_splitter.lastId()},
                               {"total_ms", total},
                               {"framing", framingName(answer.head.framing)},
                               {"partial_bytes", answer.partialEventBytes()},
                               {"resumable", m_route != nullptr && m_route->resumable},
                               {"retry_reason", m_retryReason},
                               {"silent_ms", now - m_current->lastProgress()}});
        m_gateway.metrics().countRequest(kind, RequestOutcome::Cut);
        std::exchange(m_caller, nullptr)->cut();
        finish();
        return;
    }
    if (m_errorAnswer) {
        forwardAnswer(std::move(*m_errorAnswer), reason);
        return;
    }
    const bool run = m_possibleRuns > 0;
    const int status = !run          ? HttpStatus::ServiceUnavailable
        : reason == reasons::Timeout ? HttpStatus::GatewayTimeout
                                     : HttpStatus::BadGateway;
    noteFailure(status, reason);
    answerDirectly(status, run ? std::nullopt : std::optional(returnAfterPauses().value_or(DefaultRetryAfter)));
}

void Call::noteFailure(int status, std::string_view reason)
{
    const TimePoint now = m_gateway.loop().now();
    const CallKind kind = m_route == nullptr ? CallKind::Idempotent : m_route->kind;
    m_gateway.log().write(
        DecisionEvent::RequestFailed,
        now,
        m_fields.requestId,
        {{fieldnames::Attempt, m_attempts.size()},
         {fieldnames::Target, targetForLog()},
         {"status", status},
         {fieldnames::Reason, reason},
         {"kind", labelValue(kind)},
         {fieldnames::Customer, m_customerName},
         {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
         {"sent_ms", m_current != nullptr ? std::optional(now - m_current->destination().sentAt) : std::nullopt},
         {"total_ms", now - m_request.received},
         {"not_run", m_possibleRuns == 0},
         {"retry_reason", m_retryReason},
         {"silent_ms", m_current != nullptr ? std::optional(now - m_current->lastProgress()) : std::nullopt},
         {fieldnames::StateVersion, stateVersion()}});
    m_gateway.metrics().countRequest(kind, RequestOutcome::Failed);
}

void Call::deadlineReached()
{
    endNow(reasons::Timeout);
}

void Call::endNow(std::string_view reason)
{
    if (m_phase == Phase::Done) {
        return;
    }
    for (const TargetAttempt *attempt : {m_current, m_hedge}) {
        m_possibleRuns += attempt != nullptr && attempt->mayRun() ? 1 : 0;
    }
    failCall(reason);
}

} // namespace celeryroute
