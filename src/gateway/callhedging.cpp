#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/net/clock.h>
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
        m_stallTimer = m_gateway.loop().at(std::max(lastProgress(), m_hedgeDecided) + stallTimeout(), [this] {
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

TimePoint Call::lastProgress() const
{
    const TimePoint current = m_current->lastProgress();
    return m_hedge == nullptr ? current : std::max(current, m_hedge->lastProgress());
}

bool Call::mayHedge() const
{
    const std::uint32_t running = m_hedge == nullptr ? 1 : 2;
    return isAttemptInProgress() && m_caller != nullptr && mayRetry()
        && m_possibleRuns + running < m_route->maxAttempts;
}

void Call::handleStall()
{
    // Data received since the timer was set may have changed the timeout, or made another attempt impossible.
    const Duration timeout = stallTimeout();
    if (!mayHedge() || m_readingPaused || timeout <= Duration::zero()) {
        return;
    }
    const TimePoint now = m_gateway.loop().now();
    if (now - lastProgress() < timeout) {
        startStallTimer();
        return;
    }
    const TargetAttempt &latest = m_hedge == nullptr ? *m_current : *m_hedge;
    if (latest.ticket()) {
        m_gateway.targetTable().noteSilent(*latest.ticket(), now);
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
    if (m_hedge != nullptr) {
        excluded.push_back(m_hedge->destination().target);
    }
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
    if (!m_gateway.targetTable().limits().use(verdict.target, bootTimeNow())) {
        applyHedge(WaitForRoom{Duration::zero(), verdict.target});
        return;
    }
    if (!m_gateway.admission().takeRetry(m_pool, m_gateway.loop().now())) {
        m_gateway.metrics().countRetryWithheld();
        keepTarget(reasons::RetryAllowance);
        return;
    }
    m_gateway.queue().remove(m_number);
    if (m_hedge != nullptr) {
        leaveSilentHedge();
    }
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
    if (m_hedge != nullptr) {
        keepTarget(reasons::NoSuccessor);
        return;
    }
    enqueue(verdict.item, verdict.target, verdict.expected);
}

void Call::applyHedge(const WaitForRoom &verdict)
{
    if (m_hedge != nullptr) {
        keepTarget(reasons::NoSuccessor);
        return;
    }
    waitForRoom(verdict);
}

void Call::applyHedge(const Refuse &)
{
    keepTarget(reasons::NoSuccessor);
}

// It has not begun to answer, so unlike the current target it holds nothing that the caller has a part of.
void Call::leaveSilentHedge()
{
    m_possibleRuns += m_hedge->mayRun() ? 1 : 0;
    m_leftSilent.push_back(m_hedge->destination().target);
    endAttempt(*std::exchange(m_hedge, nullptr), CallEnd::Abandoned);
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
