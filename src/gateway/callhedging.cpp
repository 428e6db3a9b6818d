#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>

namespace celeryroute {

// A silent target may be sound. It keeps the call until another one has begun to answer; giving it up earlier could
// leave the call without any target.

void Call::startStallTimer()
{
    m_gateway.loop().cancel(m_stallTimer);
    m_stallTimer = 0;
    if (mayHedge() && stallTimeout() > Duration::zero()) {
        m_stallTimer = m_gateway.loop().at(std::max(m_current->lastProgress(), m_hedgeDecided) + stallTimeout(),
                                           [this] {
                                               m_stallTimer = 0;
                                               handleStall();
                                           });
    }
}

Duration Call::stallTimeout() const
{
    constexpr int GapsBeforeStall = 2;
    return hasStreamed() ? m_route->targetGap * GapsBeforeStall : std::max(m_route->targetLatency, remaining() / 3);
}

bool Call::mayHedge() const
{
    return isAttemptInProgress() && m_hedge == nullptr && m_caller != nullptr && mayRetry()
        && m_possibleRuns + 1 < m_route->maxAttempts;
}

void Call::handleStall()
{
    // Data received since the timer was set may have changed the timeout, or made another attempt impossible.
    const Duration timeout = stallTimeout();
    if (!mayHedge() || m_readingPaused || timeout <= Duration::zero()) {
        return;
    }
    if (m_gateway.loop().now() - m_current->lastProgress() < timeout) {
        startStallTimer();
        return;
    }
    if (m_current->ticket()) {
        m_gateway.targetTable().noteSilent(*m_current->ticket(), m_gateway.loop().now());
    }
    hedge();
}

void Call::hedge()
{
    const TimePoint now = m_gateway.loop().now();
    m_hedgeDecided = now;
    startStallTimer();
    const Admittance admitted = admittance();
    if (admitted.refusal) {
        keepTarget(admitted.refusal->reason);
        return;
    }
    if (m_gateway.suspects().isQuarantined(m_requestDigest, now) || m_gateway.crashingPart(m_sharedParts)) {
        keepTarget(reasons::Suspect);
        return;
    }
    std::vector<std::string> excluded = avoidedTargets();
    excluded.push_back(lastTarget());
    if (usesEngine()) {
        const EngineDecision decision = m_gateway.engineChooser().choose(engineCall(std::move(excluded)), now);
        std::visit([this](const auto &verdict) { applyHedge(verdict); }, decision.verdict);
    } else {
        const PlainVerdict verdict = m_gateway.plainChooser().choose(plainCall(std::move(excluded)), now);
        std::visit([this](const auto &chosen) { applyHedge(chosen); }, verdict);
    }
}

void Call::applyHedge(const SendTo &verdict)
{
    const KnownTarget *target = m_gateway.targetTable().target(verdict.target);
    const auto endpoint = target == nullptr ? std::nullopt : parseEndpoint(target->record.address);
    if (!endpoint) {
        m_excluded.push_back(verdict.target);
        keepTarget(reasons::NoTarget);
        return;
    }
    if (!m_gateway.admission().takeRetry(m_pool, m_gateway.loop().now())) {
        m_gateway.metrics().countRetryWithheld();
        keepTarget(reasons::RetryAllowance);
        return;
    }
    m_gateway.queue().remove(m_number);
    m_gateway.metrics().countRetry(reasons::TargetSilent);
    m_hedge = &startAttempt(*target, *endpoint);
    m_gateway.log().write(DecisionEvent::RequestHedged,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_hedge->destination().number},
                           {fieldnames::Target, verdict.target},
                           {"from_target", lastTarget()},
                           {"silent_ms", m_gateway.loop().now() - m_current->lastProgress()},
                           {"last_event", m_splitter.lastId()}});
}

void Call::applyHedge(const WaitForLoad &verdict)
{
    enqueue(verdict.item, verdict.target, verdict.expected);
}

void Call::applyHedge(const WaitForRoom &verdict)
{
    enqueue(itemKey(m_fields.model, m_fields.adapter), {}, verdict.expected);
}

void Call::applyHedge(const Refuse &)
{
    keepTarget(reasons::NoSuccessor);
}

void Call::keepTarget(std::string_view reason)
{
    m_gateway.queue().remove(m_number);
    m_gateway.log().write(DecisionEvent::RequestKept,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_current->destination().number},
                           {fieldnames::Target, lastTarget()},
                           {fieldnames::Reason, reason},
                           {"silent_ms", m_gateway.loop().now() - m_current->lastProgress()}});
}

void Call::endHedging()
{
    if (m_hedge != nullptr) {
        m_possibleRuns += m_hedge->mayRun() ? 1 : 0;
        endAttempt(*std::exchange(m_hedge, nullptr), CallEnd::Abandoned);
        startStallTimer();
    } else {
        m_gateway.queue().remove(m_number);
    }
}

void Call::switchToHedge()
{
    const std::string previous = lastTarget();
    m_possibleRuns += m_current->mayRun() ? 1 : 0;
    m_leftSilent.push_back(previous);
    endAttempt(*m_current, CallEnd::Abandoned);
    m_current = std::exchange(m_hedge, nullptr);
    m_current->noteProgress(m_gateway.loop().now());
    m_retryReason = reasons::TargetSilent;
    if (hasStreamed()) {
        logResumed(previous);
    }
    startStallTimer();
}

void Call::promoteHedge(std::string_view reason)
{
    const std::string previous = lastTarget();
    m_current = std::exchange(m_hedge, nullptr);
    m_retryReason = reason;
    if (hasStreamed()) {
        logResumed(previous);
    }
    startStallTimer();
}

void Call::hedgeFailed(std::string_view reason)
{
    m_hedge = nullptr;
    keepTarget(reason);
    startStallTimer();
}

} // namespace celeryroute
