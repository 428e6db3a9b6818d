#include <celeryroute/detail/gateway/call.h>

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/gateway/httpstatus.h>
#include <celeryroute/detail/gateway/targethead.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <charconv>

namespace celeryroute {

namespace {

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

void Call::attemptHead(TargetAttempt &attempt, MessageHead head)
{
    const HeaderNames &names = m_gateway.names();
    const AttemptDestination &destination = attempt.destination();
    TargetAnswer &answer = attempt.answer();
    answer.signedByTarget = head.field(names.signature) != nullptr;
    answer.notRun = head.field(names.notRun) != nullptr || head.status == HttpStatus::Misdirected;
    const std::string *type = head.field("Content-Type");
    answer.isEventStream = m_route->kind == CallKind::Stream && head.status == HttpStatus::Ok && answer.signedByTarget
        && !answer.notRun && (type == nullptr || type->find("text/event-stream") != std::string::npos);
    noteAvailability(attempt, head);
    if (const std::string *load = head.field(names.load)) {
        if (const auto read = readLoad(*load)) {
            m_gateway.targetTable().noteLoad(destination.target, *read, m_gateway.loop().now());
        }
    }
    const bool isSuccess = head.status >= HttpStatus::Ok && head.status < HttpStatus::MultipleChoices;
    noteLimit(attempt, head, isSuccess && answer.signedByTarget && !answer.notRun);
    answer.head = std::move(head);
    if (&attempt == m_hedge && answer.isEventStream) {
        switchToHedge();
    }
}

bool Call::mayBeForwarded(const TargetAnswer &answer) const
{
    const int status = answer.head.status;
    const bool success = status >= HttpStatus::Ok && status < HttpStatus::MultipleChoices;
    return answer.isEventStream || (success && answer.signedByTarget && !answer.notRun && !hasStreamed());
}

void Call::attemptStrayHead(const TargetAttempt &attempt, const MessageHead &head)
{
    noteAvailability(attempt, head);
    noteLimit(attempt, head, false);
}

// Status 421 may come from another instance that has the address now.
void Call::noteLimit(const TargetAttempt &attempt, const MessageHead &head, bool showsEnd)
{
    if (head.status == HttpStatus::Misdirected) {
        return;
    }
    const std::vector<std::string_view> named = head.values(m_gateway.names().limit);
    if (!named.empty() || showsEnd) {
        m_gateway.noteLimit(attempt.destination(), named);
    }
}

void Call::noteAvailability(const TargetAttempt &attempt, const MessageHead &head)
{
    const std::string &target = attempt.destination().target;
    // Status 421 may come from another instance that has the address now.
    if (head.field(m_gateway.names().leaving) != nullptr && head.status != HttpStatus::Misdirected) {
        m_gateway.targetTable().noteLeaving(target, m_fields.requestId, m_gateway.loop().now());
    }
    if (const std::string *pause = head.field("Retry-After");
        pause != nullptr && head.status == HttpStatus::ServiceUnavailable) {
        m_gateway.notePause(target, *pause);
    }
}

void Call::attemptBody(TargetAttempt &attempt)
{
    TargetAnswer &answer = attempt.answer();
    if (&attempt == m_current && mayBeForwarded(answer)) {
        endHedging();
    }
    if (answer.isEventStream && !forwardEvents(attempt)) {
        return;
    }
    const std::optional<std::string_view> limit = attempt.isInProgress() ? attempt.exceededLimit() : std::nullopt;
    if (limit) {
        noteCutOff(attempt, *limit);
        m_possibleRuns += answer.notRun ? 0 : 1;
        endAttempt(attempt, CallEnd::Failed);
        attempt.discardBody();
        exclude(attempt);
        attemptEnded(attempt, reasons::AnswerCutOff, answer.notRun || mayRetry());
    }
}

void Call::noteCutOff(TargetAttempt &attempt, std::string_view limit)
{
    m_gateway.metrics().countCutOff(limit);
    m_gateway.log().write(DecisionEvent::AnswerCutOff,
                          m_gateway.loop().now(),
                          m_fields.requestId,
                          {{fieldnames::Attempt, attempt.destination().number},
                           {fieldnames::Target, attempt.destination().target},
                           {"limit", limit},
                           {"bytes", attempt.answer().body.size()}});
}

bool Call::forwardEvents(TargetAttempt &attempt)
{
    TargetAnswer &answer = attempt.answer();
    const std::uint64_t before = m_splitter.eventCount();
    const EventSplitter::Taken taken = m_splitter.takeCompleteEvents(answer.body, answer.searchedBytes);
    answer.searchedBytes = answer.body.size();
    if (!taken.events.empty()) {
        appendEvents(attempt, taken.events, before == 0);
    }
    if (!taken.valid && attempt.isInProgress()) {
        endGarbledStream(attempt);
    }
    return taken.valid;
}

void Call::appendEvents(TargetAttempt &attempt, const std::string &events, bool first)
{
    TargetAnswer &answer = attempt.answer();
    if (!answer.hasEvents) {
        answer.hasEvents = true;
        noteWeightsVersion(answer);
    }
    if (!m_splitter.weightsVersion().empty()) {
        m_weightsVersion = m_splitter.weightsVersion();
    }
    m_phase = Phase::Streaming;
    if (first) {
        beginStream(attempt);
        startStallTimer(); // The timeout between events applies from now on.
    }
    m_callerIdleSince = m_gateway.loop().now();
    m_caller->append(events);
    m_caller->flush();
    if (m_caller != nullptr && m_caller->congested() && !m_readingPaused && attempt.isInProgress()) {
        m_readingPaused = true;
        attempt.setReading(false);
    }
}

// The text of an error, or its head, may come where the next event is due.
void Call::endGarbledStream(TargetAttempt &attempt)
{
    ++m_possibleRuns;
    endAttempt(attempt, CallEnd::Failed);
    attempt.discardBody();
    exclude(attempt);
    attemptEnded(attempt, reasons::AnswerGarbled, mayRetry());
}

void Call::noteWeightsVersion(const TargetAnswer &answer)
{
    if (const std::string *version = answer.head.field(m_gateway.names().weightsVersion)) {
        m_weightsVersion = *version;
    }
}

void Call::beginStream(TargetAttempt &attempt)
{
    const TimePoint now = m_gateway.loop().now();
    if (attempt.ticket()) {
        m_gateway.targetTable().noteFirstEvent(*attempt.ticket(), now);
    }
    m_firstEventAt = now;
    m_softwareVersion = attempt.destination().softwareVersion;
    noteStreamOrigin();
    m_gateway.metrics().observeFirstByte(m_route->kind, now - m_request.received);
    m_caller->begin(callerAnswerHead(attempt.answer().head, m_gateway.names()));
}

void Call::attemptComplete(TargetAttempt &attempt)
{
    TargetAnswer &answer = attempt.answer();
    if (answer.notRun) {
        const bool atCapacity = answer.head.status != HttpStatus::Misdirected;
        endAttempt(attempt, atCapacity ? CallEnd::Full : CallEnd::NotResident);
        // If a plain service rejects the instance ID, its address belongs to another instance now, so a retry there
        // would be rejected too.
        if (atCapacity || !usesEngine()) {
            exclude(attempt);
        }
        attemptEnded(attempt, atCapacity ? reasons::TargetRefused : reasons::WrongInstance, true);
        return;
    }
    if (answer.brokeOffInOrder()) {
        attemptFailed(attempt, ExchangeFailure::Torn);
        return;
    }
    ++m_possibleRuns;
    m_gateway.suspects().noteAnswered(m_requestDigest, m_gateway.loop().now());
    const int status = answer.head.status;
    const bool success = status >= HttpStatus::Ok && status < HttpStatus::MultipleChoices;
    const bool isWhole = mayBeForwarded(answer);
    if (isWhole && &attempt == m_hedge) {
        switchToHedge();
    }
    if (answer.isEventStream) {
        finishStream(attempt);
        return;
    }
    if (isWhole) {
        endAttempt(attempt, CallEnd::Answered);
        forwardAnswer(std::move(answer));
        return;
    }
    const bool targetFailed = status >= HttpStatus::InternalError || success;
    endAttempt(attempt, targetFailed ? CallEnd::Failed : CallEnd::Answered);
    exclude(attempt);
    // Forwarding such a status would tell the caller that the call did not run, which the target didn't confirm.
    const bool impliesNotRun = HttpStatus::impliesNotRun(status);
    if (!success && (m_route->isRepeatable() || !impliesNotRun)) {
        m_errorAnswer = std::move(answer);
    }
    if (!targetFailed && &attempt == m_current) {
        failCall(reasons::TargetFailed);
    } else {
        attemptEnded(attempt, reasons::TargetFailed, mayRetry());
    }
}

void Call::finishStream(TargetAttempt &attempt)
{
    endAttempt(attempt, CallEnd::Answered);
    if (m_splitter.eventCount() == 0) {
        beginStream(attempt);
    }
    recordSuccess(attempt.answer());
    m_caller->finish();
    finish();
}

void Call::recordSuccess(const TargetAnswer &answer)
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.suspects().parts().noteAnswered(m_sharedParts, now);
    const Duration total = now - m_request.received;
    m_gateway.metrics().countRequest(m_route->kind, RequestOutcome::Answered);
    m_gateway.metrics().observeTotal(m_route->kind, total);
    m_gateway.log().write(DecisionEvent::RequestAnswered,
                          now,
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_current->destination().number},
                           {fieldnames::Target, lastTarget()},
                           {"status", answer.head.status},
                           {"first_ms", m_firstEventAt.value_or(now) - m_request.received},
                           {"total_ms", total},
                           {"events", m_splitter.eventCount()},
                           {"framing", framingName(answer.head.framing)},
                           {"partial_bytes", answer.partialEventBytes()}});
}

// Plain answers are buffered: the caller gets the first byte when the whole answer has arrived.
void Call::forwardAnswer(TargetAnswer answer, std::string_view reason)
{
    const Duration total = m_gateway.loop().now() - m_request.received;
    m_gateway.metrics().observeFirstByte(m_route->kind, total);
    if (answer.head.status < HttpStatus::MultipleChoices) {
        recordSuccess(answer);
    } else {
        m_gateway.metrics().observeTotal(m_route->kind, total);
        noteFailure(answer.head.status, reason);
    }
    answerCaller(callerAnswerHead(std::move(answer.head), m_gateway.names()), answer.body);
}

} // namespace celeryroute
