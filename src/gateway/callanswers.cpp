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
    m_answer.events = m_route->kind == CallKind::Stream && head.status == HttpStatus::Ok && m_answer.signedByTarget
        && (type == nullptr || type->find("text/event-stream") != std::string::npos);
    if (const std::string *load = head.field(names.load)) {
        if (const auto read = readLoad(*load)) {
            m_gateway.book().noteLoad(m_target, *read, m_gateway.loop().now());
        }
    }
    if (const std::string *version = head.field(names.weightsVersion); version != nullptr && m_answer.events) {
        m_version = *version;
    }
    m_answer.head = std::move(head);
}

void Call::exchangeBody(std::string &body)
{
    m_lastProgress = m_gateway.loop().now();
    m_answer.body += body;
    body.clear();
    if (m_answer.events) {
        passEvents();
    }
    if (m_answer.body.size() > MaxBufferedAnswer) {
        ++m_runs;
        endAttempt(CallEnd::Failed);
        failFinally(reasons::TooLarge);
    }
}

void Call::passEvents()
{
    const std::uint64_t before = m_events.events();
    const std::string whole = m_events.takeWhole(m_answer.body);
    if (whole.empty()) {
        return;
    }
    if (!m_events.weightsVersion().empty()) {
        m_version = m_events.weightsVersion();
    }
    if (before == 0) {
        beginStream();
        armStall(); // From now on the pauses between events count.
    }
    m_phase = Phase::Streaming;
    m_heardAt = m_gateway.loop().now();
    m_caller->append(whole);
    m_caller->flush();
    if (m_caller != nullptr && m_caller->congested() && !m_held && m_exchange != nullptr) {
        m_held = true;
        m_exchange->setReading(false);
    }
}

void Call::beginStream()
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.book().noteFirstEvent(m_ticket, now);
    m_firstByte = now;
    m_gateway.metrics().observeFirstByte(m_route->kind, now - m_request.received);
    m_caller->begin(callerAnswerHead(m_answer.head, m_gateway.names()));
}

void Call::exchangeComplete()
{
    m_exchange = nullptr;
    if (m_answer.notRun) {
        const bool full = m_answer.head.status != HttpStatus::Misdirected;
        endAttempt(full ? CallEnd::Full : CallEnd::NotResident);
        // A plain service at the address of another instance stays misplaced.
        if (full || !usesEngine()) {
            m_excluded.push_back(m_target);
        }
        tryAgain(full ? reasons::TargetRefused : reasons::WrongInstance);
        return;
    }
    ++m_runs;
    m_gateway.suspects().noteAnswered(m_digest, m_gateway.loop().now());
    const int status = m_answer.head.status;
    const bool success = status >= HttpStatus::Ok && status < HttpStatus::MultipleChoices;
    if (m_answer.events) {
        finishStream();
        return;
    }
    if (success && m_answer.signedByTarget && !begun()) {
        endAttempt(CallEnd::Answered);
        passAnswer();
        return;
    }
    const bool targetFailed = status >= HttpStatus::InternalError || success;
    endAttempt(targetFailed ? CallEnd::Failed : CallEnd::Answered);
    // Handed on, such a status would promise that the call did not run, which the target has not said.
    const bool promise = HttpStatus::promisesNotRun(status);
    if (!success && (m_route->repeatable() || !promise)) {
        m_failure = std::move(m_answer);
    }
    if (targetFailed && mayRunAgain()) {
        m_excluded.push_back(m_target);
        tryAgain(reasons::TargetFailed);
        return;
    }
    failFinally(reasons::TargetFailed);
}

void Call::finishStream()
{
    endAttempt(CallEnd::Answered);
    if (m_events.events() == 0) {
        beginStream();
    }
    noteAnswered();
    m_caller->append(m_answer.body);
    m_caller->finish();
    done();
}

void Call::noteAnswered()
{
    const TimePoint now = m_gateway.loop().now();
    const Duration total = now - m_request.received;
    m_gateway.metrics().countRequest(m_route->kind, RequestOutcome::Answered);
    m_gateway.metrics().observeTotal(m_route->kind, total);
    m_gateway.log().write(DecisionEvent::RequestAnswered,
                          now,
                          m_fields.requestId,
                          {{fieldnames::Attempt, m_sends},
                           {fieldnames::Target, m_target},
                           {"status", m_answer.head.status},
                           {"first_ms", m_firstByte.value_or(now) - m_request.received},
                           {"total_ms", total},
                           {"events", m_events.events()}});
}

// Its first byte goes to the caller when all of it has come.
void Call::passAnswer(std::string_view reason)
{
    const Duration total = m_gateway.loop().now() - m_request.received;
    m_gateway.metrics().observeFirstByte(m_route->kind, total);
    if (m_answer.head.status < HttpStatus::MultipleChoices) {
        noteAnswered();
    } else {
        m_gateway.metrics().observeTotal(m_route->kind, total);
        noteFailure(m_answer.head.status, reason);
    }
    answerCaller(callerAnswerHead(std::move(m_answer.head), m_gateway.names()), m_answer.body);
}

// A target that is silent for long while the call may run elsewhere is given up.
void Call::armStall()
{
    m_gateway.loop().cancel(m_stallTimer);
    m_stallTimer = 0;
    if (patience() <= Duration::zero() || !mayRunAgain() || m_runs + 1 >= m_route->maxAttempts) {
        return;
    }
    m_stallTimer = m_gateway.loop().at(m_lastProgress + patience(), [this] {
        m_stallTimer = 0;
        stalled();
    });
}

Duration Call::patience() const
{
    constexpr int GapsBeforeStall = 2;
    return begun() ? m_route->targetGap * GapsBeforeStall : std::max(m_route->targetLatency, remaining() / 3);
}

void Call::stalled()
{
    // What has come meanwhile may have changed how long to wait, and whether to wait at all.
    if (m_exchange == nullptr || m_held || patience() <= Duration::zero() || !mayRunAgain()) {
        return;
    }
    if (m_gateway.loop().now() - m_lastProgress < patience()) {
        armStall();
        return;
    }
    if (m_exchange->sentAny()) {
        ++m_runs;
    }
    m_excluded.push_back(m_target);
    endAttempt(CallEnd::Unreachable);
    tryAgain(reasons::TargetSilent);
}

} // namespace celeryroute
