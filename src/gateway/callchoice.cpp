#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/placement/pauserequest.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <charconv>

namespace celeryroute {

namespace {

std::string_view reasonOf(RefuseReason reason)
{
    switch (reason) {
    case RefuseReason::UnknownModel:
        return reasons::NotLoaded;
    case RefuseReason::TooLarge:
        return reasons::ModelTooLarge;
    case RefuseReason::NoTargets:
        return reasons::NoTarget;
    case RefuseReason::TargetLimit:
        return reasons::TargetLimit;
    case RefuseReason::TooLate:
    case RefuseReason::VersionUnavailable:
        break;
    }
    return reasons::TooLate;
}

} // namespace

void Call::chooseTarget()
{
    if (callerDeadline() <= m_gateway.loop().now()) {
        deadlineReached();
        return;
    }
    m_phase = Phase::Waiting;
    if (usesEngine()) {
        chooseEngineTarget();
    } else {
        choosePlainTarget();
    }
}

std::uint32_t Call::priority() const
{
    return m_table->priority(*m_route, m_customer);
}

bool Call::usesEngine() const
{
    const ServingPool *pool = m_table->state().pool(m_pool);
    return pool != nullptr && pool->engine && !m_fields.model.empty();
}

void Call::choosePlainTarget()
{
    const PlainVerdict verdict = m_gateway.plainChooser().choose(plainCall(avoidedTargets()), m_gateway.loop().now());
    std::visit([this](const auto &chosen) { applyChoice(chosen); }, verdict);
}

void Call::chooseEngineTarget()
{
    const EngineDecision decision = m_gateway.engineChooser().choose(engineCall(avoidedTargets()),
                                                                     m_gateway.loop().now());
    m_chooserAsked = true;
    if (decision.extraLoad) {
        m_gateway.requestSpareReplica(*decision.extraLoad);
    }
    std::visit([this](const auto &chosen) { applyChoice(chosen); }, decision.verdict);
}

PlainServiceCall Call::plainCall(std::vector<std::string> excluded) const
{
    return {m_pool,
            std::move(excluded),
            m_route->isRepeatable(),
            requiredSoftwareVersion(),
            callerDeadline() - m_gateway.loop().now()};
}

EngineCall Call::engineCall(std::vector<std::string> excluded) const
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
    call.priority = priority();
    call.remaining = callerDeadline() - m_gateway.loop().now();
    call.targetLatency = m_route->targetLatency;
    call.softwareVersion = requiredSoftwareVersion();
    call.excluded = std::move(excluded);
    call.decidedBefore = m_chooserAsked;
    call.waited = m_gateway.loop().now() - m_request.received;
    call.callsWaiting = m_gateway.queue().waitingForRoom(m_pool, m_fields.model, call.priority);
    const WaitingCall *own = m_gateway.queue().find(m_number);
    if (own != nullptr && own->loadTarget.empty() && call.callsWaiting > 0) {
        --call.callsWaiting;
    }
    if (!m_weightsVersion.empty() && hasStreamed()) {
        std::uint64_t version = 0;
        std::from_chars(m_weightsVersion.data(), m_weightsVersion.data() + m_weightsVersion.size(), version);
        call.weightsVersion = version;
    }
    return call;
}

void Call::applyChoice(const SendTo &verdict)
{
    send(verdict.target);
}

void Call::applyChoice(const WaitForLoad &verdict)
{
    enqueue(verdict.item, verdict.target, verdict.expected);
}

void Call::applyChoice(const WaitForRoom &verdict)
{
    waitForRoom(verdict);
}

void Call::waitForRoom(const WaitForRoom &verdict)
{
    enqueue(itemKey(m_fields.model, m_fields.adapter), {}, verdict.expected, verdict.permitTarget);
}

std::vector<std::string> Call::avoidedTargets() const
{
    std::vector<std::string> avoided = m_excluded;
    avoided.insert(avoided.end(), m_leftSilent.begin(), m_leftSilent.end());
    return avoided;
}

void Call::applyChoice(const Refuse &verdict)
{
    if (!m_leftSilent.empty()) {
        m_leftSilent.clear();
        chooseTarget();
        return;
    }
    if (!m_attempts.empty()) {
        failCall(hasStreamed() || m_retryReason.empty() ? reasons::NoSuccessor : m_retryReason);
        return;
    }
    if (requiredSoftwareVersion() && (verdict.reason == RefuseReason::VersionUnavailable || !hasPinnedVersionLeft())) {
        refuse(HttpStatus::ServiceUnavailable, reasons::VersionLeft, DefaultRetryAfter);
        return;
    }
    m_limitedTarget = verdict.target;
    const std::optional<Duration> pause = returnAfterPauses();
    if (verdict.reason == RefuseReason::NoTargets && m_gateway.targetTable().isEvacuated(m_pool)) {
        refuse(HttpStatus::ServiceUnavailable, reasons::Evacuated, verdict.retryAfter);
        return;
    }
    const bool allPause = verdict.reason == RefuseReason::NoTargets && pause;
    refuse(HttpStatus::ServiceUnavailable,
           allPause ? reasons::TargetsPause : reasonOf(verdict.reason),
           allPause ? *pause : verdict.retryAfter);
}

// When the caller should come back, if no target accepts calls and some have asked for a pause.
std::optional<Duration> Call::returnAfterPauses() const
{
    const TargetPool *pool = m_gateway.targetTable().pool(m_pool);
    const std::optional<Duration> left = m_gateway.targetTable().pauseLeft(m_pool, m_gateway.loop().now());
    if (!left || (pool != nullptr && !pool->accepting.empty())) {
        return std::nullopt;
    }
    return returnAfterPause(*left, priority(), stableHash(m_fields.requestId));
}

void Call::enqueue(const std::string &item,
                   const std::string &target,
                   Duration expected,
                   const std::string &permitTarget)
{
    WaitingCall waiting;
    waiting.call = m_number;
    waiting.pool = m_pool;
    waiting.item = item;
    waiting.loadTarget = target;
    waiting.permitTarget = permitTarget;
    waiting.priority = priority();
    waiting.since = m_request.received;
    waiting.deadline = callerDeadline();
    const WaitingCall *before = m_gateway.queue().find(m_number);
    if (before == nullptr || before->loadTarget != target || before->permitTarget != permitTarget) {
        const std::string_view awaited = !permitTarget.empty() ? "permit" : target.empty() ? "room" : "load";
        const std::string &askedTarget = permitTarget.empty() ? target : permitTarget;
        const KnownTarget *asked = m_gateway.targetTable().target(askedTarget);
        const TimePoint now = m_gateway.loop().now();
        const auto heard = asked == nullptr ? std::nullopt : asked->heardMessage(now);
        const auto age = asked == nullptr ? std::nullopt : m_gateway.targetTable().ageOf(*asked, now);
        m_gateway.log().write(DecisionEvent::RequestQueued,
                              now,
                              m_fields.requestId,
                              {{fieldnames::Reason, awaited},
                               {fieldnames::Item, item},
                               {fieldnames::Target, askedTarget},
                               {"limit_per_second", m_gateway.targetTable().limits().perSecond(askedTarget, now)},
                               {"expected_ms", expected},
                               {"limit_ms", waiting.deadline - now},
                               {"target_age_ms", age},
                               {fieldnames::StateVersion, m_table->state().version},
                               {fieldnames::Message, m_gateway.nextMessage()},
                               {fieldnames::HeardIncarnation, incarnationOf(heard)},
                               {fieldnames::HeardMessage, messageOf(heard)}});
    }
    m_gateway.enqueue(waiting);
}

void Call::reconsider()
{
    if (m_phase == Phase::Waiting) {
        if (resolveRouteAndCustomer()) {
            chooseTarget();
        }
    } else if (m_phase != Phase::Done && mayHedge()) {
        hedge();
    }
}

} // namespace celeryroute
