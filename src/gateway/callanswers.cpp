#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/gateway/targethead.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <charconv>

namespace celeryroute {

namespace {

constexpr std::size_t MaxBufferedAnswer = std::size_t{16} * 1024 * 1024;

std::optional<ReportedLoad> readLoad(const std::string &text)
{
    ReportedLoad load;
    const char *at = text.data();
    const char *end = text.data() + text.size();
    for (std::uint32_t *value : {&load.running, &load.waiting, &load.slots}) {
        const auto [rest, error] = std::from_chars(at, end, *value);
        if (error != std::errc()) {
            return std::nullopt;
        }
        at = rest != end ? rest + 1 : rest;
    }
    return load;
}

} // namespace

void Call::exchangeHead(MessageHead head)
{
    const HeaderNames &names = m_gateway.names();
    m_answer.signedByTarget = head.field(names.signature) != nullptr;
    m_answer.notRun = head.field(names.notRun) != nullptr || head.status == HttpStatus::Misdirected;
    const std::string *type = head.field("Content-Type");
    m_answer.isEventStream = m_route->kind == CallKind::Stream && head.status == HttpStatus::Ok
        && m_answer.signedByTarget && (type == nullptr || type->find("text/event-stream") != std::string::npos);
    // Status 421 may come from another instance that has the address now.
    if (head.field(names.leaving) != nullptr && head.status != HttpStatus::Misdirected) {
        m_gateway.noteLeaving(m_target, m_targetStartMs);
    }
    if (const std::string *pause = head.field("Retry-After");
        pause != nullptr && head.status == HttpStatus::ServiceUnavailable) {
        m_gateway.notePause(m_target, m_targetStartMs, *pause);
    }
    if (const std::string *load = head.field(names.load)) {
        if (const auto read = readLoad(*load)) {
            m_gateway.targetTable().noteLoad(m_target, *read, m_gateway.loop().now());
        }
    }
    if (const std::string *version = head.field(names.weightsVersion); version != nullptr && m_answer.isEventStream) {
        m_weightsVersion = *version;
    }
    m_answer.head = std::move(head);
}

void Call::exchangeBody(std::string &body)
{
    m_lastProgress = m_gateway.loop().now();
    m_answer.body += body;
    body.clear();
    if (m_answer.isEventStream) {
        forwardEvents();
    }
    if (m_answer.body.size() > MaxBufferedAnswer) {
        ++m_possibleRuns;
        endAttempt(CallEnd::Failed);
        failCall(reasons::TooLarge);
    }
}

void Call::forwardEvents()
{
    const std::uint64_t before = m_splitter.eventCount();
    const std::string whole = m_splitter.takeCompleteEvents(m_answer.body);
    if (whole.empty()) {
        return;
    }
    m_answer.hasEvents = true;
    if (!m_splitter.weightsVersion().empty()) {
        m_weightsVersion = m_splitter.weightsVersion();
    }
    if (before == 0) {
        beginStream();
        startStallTimer(); // The timeout between events applies from now on.
    }
    m_phase = Phase::Streaming;
    m_callerIdleSince = m_gateway.loop().now();
    m_caller->append(whole);
    m_caller->flush();
    if (m_caller != nullptr && m_caller->congested() && !m_readingPaused && m_targetConnection != nullptr) {
        m_readingPaused = true;
        m_targetConnection->setReading(false);
    }
}

void Call::beginStream()
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.targetTable().noteFirstEvent(m_ticket, now);
    m_firstEventAt = now;
    m_softwareVersion = m_targetSoftware;
    m_gateway.metrics().observeFirstByte(m_route->kind, now - m_request.received);
    m_caller->begin(callerAnswerHead(m_answer.head, m_gateway.names()));
}

void Call::exchangeComplete()
{
    m_targetConnection = nullptr;
    if (m_answer.notRun) {
        const bool atCapacity = m_answer.head.status != HttpStatus::Misdirected;
        endAttempt(atCapacity ? CallEnd::Full : CallEnd::NotResident);
        // If a plain service rejects the instance ID, its address belongs to another instance now, so a retry there
        // would be rejected too.
        if (atCapacity || !usesEngine()) {
            m_excluded.push_back(m_target);
        }
        retry(atCapacity ? reasons::TargetRefused : reasons::WrongInstance);
        return;
    }
    if (brokeOffInOrder()) {
        exchangeFailed(ExchangeFailure::Torn);
        return;
    }
    ++m_possibleRuns;
    m_gateway.suspects().noteAnswered(m_requestDigest, m_gateway.loop().now());
    const int status = m_answer.head.status;
    const bool success = status >= HttpStatus::Ok && status < HttpStatus::MultipleChoices;
    if (m_answer.isEventStream) {
        finishStream();
        return;
    }
    if (success && m_answer.signedByTarget && !hasStreamed()) {
        endAttempt(CallEnd::Answered);
        forwardAnswer();
        return;
    }
    const bool targetFailed = status >= HttpStatus::InternalError || success;
    endAttempt(targetFailed ? CallEnd::Failed : CallEnd::Answered);
    // Forwarding such a status would tell the caller that the call did not run, which the target didn't confirm.
    const bool impliesNotRun = HttpStatus::impliesNotRun(status);
    if (!success && (m_route->isRepeatable() || !impliesNotRun)) {
        m_errorAnswer = std::move(m_answer);
    }
    if (targetFailed && mayRetry()) {
        m_excluded.push_back(m_target);
        retry(reasons::TargetFailed);
        return;
    }
    failCall(reasons::TargetFailed);
}

// A crashing target may close its connection in order, which ends an answer without length and chunks.
bool Call::brokeOffInOrder() const
{
    const bool insideEvent = !m_answer.body.empty();
    const bool unconfirmed = m_answer.head.framing == BodyFraming::UntilClose && !m_answer.hasEvents;
    return m_answer.isEventStream && (insideEvent || unconfirmed);
}

void Call::finishStream()
{
    endAttempt(CallEnd::Answered);
    if (m_splitter.eventCount() == 0) {
        beginStream();
    }
    recordSuccess();
    m_caller->finish();
    finish();
}

void Call::recordSuccess()
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.suspects().parts().noteAnswered(m_sharedParts, now);
    const Duration total = now - m_request.received;
    m_gateway.metrics().countRequest(m_route->kind, RequestOutcome::Answered);
    m_gateway.metrics().observeTotal(m_route->kind, total);
    m_gateway.log().write(DecisionEvent::RequestAnswered,
                          now,
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_sends},
                           {fieldnames::Target, m_target},
                           {"status", m_answer.head.status},
                           {"first_ms", m_firstEventAt.value_or(now) - m_request.received},
                           {"total_ms", total},
                           {"events", m_splitter.eventCount()},
                           {"framing", framingName(m_answer.head.framing)},
                           {"partial_bytes", partialEventBytes()}});
}

// Bytes that the target sent after the last complete event of its stream.
std::optional<std::size_t> Call::partialEventBytes() const
{
    return m_answer.isEventStream ? std::optional(m_answer.body.size()) : std::nullopt;
}

// Plain answers are buffered: the caller gets the first byte when the whole answer has arrived.
void Call::forwardAnswer(std::string_view reason)
{
    const Duration total = m_gateway.loop().now() - m_request.received;
    m_gateway.metrics().observeFirstByte(m_route->kind, total);
    if (m_answer.head.status < HttpStatus::MultipleChoices) {
        recordSuccess();
    } else {
        m_gateway.metrics().observeTotal(m_route->kind, total);
        noteFailure(m_answer.head.status, reason);
    }
    answerCaller(callerAnswerHead(std::move(m_answer.head), m_gateway.names()), m_answer.body);
}

// Starts the timeout for a silent target, if the call could be retried on another one.
void Call::startStallTimer()
{
    m_gateway.loop().cancel(m_stallTimer);
    m_stallTimer = 0;
    if (stallTimeout() <= Duration::zero() || !mayRetry() || m_possibleRuns + 1 >= m_route->maxAttempts) {
        return;
    }
    m_stallTimer = m_gateway.loop().at(m_lastProgress + stallTimeout(), [this] {
        m_stallTimer = 0;
        handleStall();
    });
}

Duration Call::stallTimeout() const
{
    constexpr int GapsBeforeStall = 2;
    return hasStreamed() ? m_route->targetGap * GapsBeforeStall : std::max(m_route->targetLatency, remaining() / 3);
}

void Call::handleStall()
{
    // Data received since the timer was set may have changed the timeout, or made a retry impossible.
    if (m_targetConnection == nullptr || m_readingPaused || stallTimeout() <= Duration::zero() || !mayRetry()) {
        return;
    }
    if (m_gateway.loop().now() - m_lastProgress < stallTimeout()) {
        startStallTimer();
        return;
    }
    if (m_targetConnection->sentAny()) {
        ++m_possibleRuns;
    }
    m_excluded.push_back(m_target);
    endAttempt(CallEnd::Unreachable);
    retry(reasons::TargetSilent);
}

} // namespace celeryroute
