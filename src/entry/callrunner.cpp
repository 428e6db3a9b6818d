#include "callrunner.h"

#include <peer.pb.h>

namespace celeryroute {

namespace {

constexpr Duration RetryAfterCapacity = std::chrono::seconds(1);
/// Maximum time that a call waits for another entry to lend tokens.
constexpr Duration LoanWait = std::chrono::milliseconds(250);
constexpr std::uint32_t FirstErrorStatus = 400;

} // namespace

CallRunner::CallRunner(DispatcherSettings settings, HostDirectory &directory, Observers observers)
    : m_settings(std::move(settings))
    , m_directory(directory)
    , m_router(directory, m_settings.instance)
    , m_budget(m_settings.instance,
               directory,
               [this](HostLink &link, proto::Envelope &envelope) { send(link, envelope); })
    , m_timeline(observers.timeline)
    , m_reporter(observers)
    , m_state(std::make_shared<const FleetState>())
    , m_claims(m_settings.instance)
{}

void CallRunner::setState(std::shared_ptr<const FleetState> state, TimePoint now)
{
    const bool unchanged = state->nextOffset() == m_state->nextOffset();
    m_state = std::move(state);
    if (unchanged) {
        return;
    }
    m_claims.setState(*m_state, now);
    m_router.setState(m_state);
    m_budget.setState(*m_state, now);
    const auto withdrawn = m_table.select([this](const Flight &flight) {
        const Versioned<KeyEntry> *key = m_state->key(flight.call.caller.keyDigest);
        return key != nullptr && key->value.withdrawn;
    });
    for (const std::string &requestId : withdrawn) {
        Flight &flight = *m_table.find(requestId);
        const RunState run = flight.attempt ? RunState::Unknown : RunState::NotRun;
        cancelAttempt(flight);
        refuse(flight, {{ResultCode::KeyWithdrawn, "the key has been withdrawn"}, run, Duration::zero()}, now);
    }
    tick(now);
}

void CallRunner::setRefusingNew(TimePoint now)
{
    m_refusingNew = true;
    m_budget.handOver(now);
}

void CallRunner::start(CallerCall call, std::shared_ptr<HttpResponder> responder, TimePoint now)
{
    const bool full = m_table.size() >= m_settings.maxFlights;
    Flight &flight = m_table.add(std::move(call), std::move(responder));
    m_reporter.admitted(flight);
    if (m_refusingNew) {
        refuse(flight, {{ResultCode::Stopping, "this entry is stopping"}, RunState::NotRun, RetryAfterCapacity}, now);
    } else if (full) {
        refuse(flight,
               {{ResultCode::TooManyConnections, "too many calls in work"}, RunState::NotRun, RetryAfterCapacity},
               now);
    } else {
        admit(flight, now);
    }
}

// Reserves the worst-case number of tokens before a call is forwarded. If other entries may hold the
// missing tokens, or the bucket refills soon, the call waits briefly; otherwise it is refused immediately.
void CallRunner::admit(Flight &flight, TimePoint now)
{
    const std::string &customer = flight.call.caller.customer;
    const auto tokens = static_cast<double>(flight.call.worstCaseTokens);
    if (customer.empty() || tokens == 0) {
        claimOrStart(flight, now);
        return;
    }
    const ReserveOutcome outcome = m_budget.reserve(customer, tokens, now);
    if (const auto *reservation = std::get_if<Reservation>(&outcome)) {
        flight.reservation = reservation->id;
        claimOrStart(flight, now);
        return;
    }
    const BudgetRefusal refusal = std::get<BudgetRefusal>(outcome);
    const bool tokensExpectedSoon = refusal.loanMayHelp
        || (refusal.retryAfter > Duration::zero() && refusal.retryAfter <= LoanWait);
    const bool mayWait = tokensExpectedSoon && (flight.tokenWaitEnd == TimePoint() || now < flight.tokenWaitEnd);
    if (mayWait) {
        if (flight.tokenWaitEnd == TimePoint()) {
            flight.tokenWaitEnd = std::min(now + LoanWait, flight.call.deadline);
        }
        m_waitingForTokens.push_back(flight.call.requestId);
        return;
    }
    const std::string message = "customer " + customer + " has no tokens left for this request";
    refuse(flight, {{refusal.code, message}, RunState::NotRun, refusal.retryAfter}, now);
}

void CallRunner::retryWaitingForTokens(TimePoint now)
{
    for (const std::string &requestId : std::exchange(m_waitingForTokens, {})) {
        if (Flight *flight = m_table.find(requestId)) {
            admit(*flight, now);
        }
    }
}

void CallRunner::settleBudget(Flight &flight, double usedTokens, TimePoint now)
{
    if (flight.reservation != 0) {
        m_budget.settle(std::exchange(flight.reservation, 0), usedTokens, now);
    }
}

bool CallRunner::holdsShare(TimePoint now) const
{
    return m_budget.holdsShare(now);
}

void CallRunner::confirmState(TimePoint at)
{
    m_budget.confirm(at);
}

bool CallRunner::receiveFromEntry(const proto::Envelope &envelope, TimePoint now)
{
    const bool taken = m_budget.receive(envelope, now);
    if (taken) {
        retryWaitingForTokens(now);
    }
    return taken;
}

// A non-repeatable call waits for its claim; the decision on the claim starts, answers or refuses the call.
void CallRunner::claimOrStart(Flight &flight, TimePoint now)
{
    if (!CallClaims::isNeeded(flight.call)) {
        startAttempt(flight, now);
        return;
    }
    if (const std::optional<CallRefusal> refusal = m_claims.begin(flight.call, now)) {
        refuse(flight, *refusal, now);
    }
}

CallClaims &CallRunner::claims()
{
    return m_claims;
}

void CallRunner::processClaimNotices(TimePoint now)
{
    for (const ClaimNotification &notice : m_claims.takeNotices(now)) {
        carryOut(notice, now);
    }
}

void CallRunner::carryOut(const ClaimNotification &notice, TimePoint now)
{
    Flight *flight = m_table.find(notice.callId);
    if (flight == nullptr) {
        m_claims.refused(notice.callId, RunState::NotRun, now);
    } else if (const auto *won = std::get_if<ClaimWon>(&notice.result)) {
        flight->claimId = won->claimId;
        flight->claimOffset = won->offset;
        startAttempt(*flight, now);
    } else if (const auto *repeat = std::get_if<ClaimReplay>(&notice.result)) {
        settleBudget(*flight, 0, now);
        flight->responder->respond(repeatResponse(repeat->answer, notice.callId));
        m_table.remove(notice.callId);
    } else {
        const ClaimDenied &denied = std::get<ClaimDenied>(notice.result);
        refuse(*flight, {denied.error, denied.run, Duration::zero()}, now);
    }
}

void CallRunner::finish(Flight &flight, TimePoint now)
{
    EntryAttempt &attempt = *flight.attempt;
    if (!flight.claimId.empty()) {
        m_claims.answered(flight.call.requestId,
                          toRecordedAnswer(attempt.status, attempt.contentType, flight.wholeBody),
                          now);
    }
    if (flight.call.stream && attempt.status < FirstErrorStatus) {
        if (!flight.headSent) {
            flight.responder->begin(static_cast<int>(attempt.status), {{"content-type", attempt.contentType}});
        }
        flight.responder->end(true);
    } else {
        HttpResponse response;
        response.status = static_cast<int>(attempt.status);
        response.headers = {{"content-type", attempt.contentType}, {"x-request-id", flight.call.requestId}};
        response.body = std::move(flight.wholeBody);
        flight.responder->respond(std::move(response));
    }
    endAttempt(flight);
    m_table.remove(flight.call.requestId);
}

void CallRunner::refuse(Flight &flight, const CallRefusal &refusal, TimePoint now)
{
    const auto worstCase = static_cast<double>(flight.call.worstCaseTokens);
    settleBudget(flight, refusal.run == RunState::NotRun ? 0.0 : worstCase, now);
    m_reporter.refused(flight, refusal);
    if (CallClaims::isNeeded(flight.call)) {
        m_claims.refused(flight.call.requestId, refusal.run, now);
    }
    if (flight.headSent) {
        flight.responder->write(refusalEvent(refusal, flight.call.requestId));
        flight.responder->end(false);
    } else {
        flight.responder->respond(refusalResponse(refusal, flight.call.requestId));
    }
    endAttempt(flight);
    m_table.remove(flight.call.requestId);
}

void CallRunner::callerGone(const std::string &requestId, TimePoint now)
{
    Flight *flight = m_table.find(requestId);
    if (flight == nullptr) {
        return;
    }
    // A call with a granted claim continues, so that its outcome is recorded for a repeated request.
    if (!flight->claimId.empty()) {
        return;
    }
    if (CallClaims::isNeeded(flight->call)) {
        m_claims.refused(requestId, RunState::NotRun, now);
    }
    m_reporter.callerGone(*flight);
    settleBudget(*flight, flight->attempt ? static_cast<double>(flight->call.worstCaseTokens) : 0.0, now);
    cancelAttempt(*flight);
    flight->responder->end(false);
    m_table.remove(requestId);
}

std::set<std::string> CallRunner::hostsInUse() const
{
    return m_table.hosts();
}

void CallRunner::linksChanged(TimePoint now)
{
    m_router.refresh(now);
}

void CallRunner::tick(TimePoint now)
{
    processClaimNotices(now);
    m_router.refresh(now);
    m_budget.tick(now);
    retryWaitingForTokens(now);
    for (const std::string &requestId : m_table.takeExpired(now)) {
        if (Flight *flight = m_table.find(requestId)) {
            expire(*flight, now);
        }
    }
    // Silence is no reason to end a stream. If a message was lost, the agent sends it again; if the agent doesn't know
    // the attempt any more, it says so, which ends the stream.
    const auto stalled = m_table.select([this, now](const Flight &flight) {
        return flight.attempt && flight.headSent && now - flight.attempt->lastProgress > m_settings.progressTimeout;
    });
    for (const std::string &requestId : stalled) {
        Flight &flight = *m_table.find(requestId);
        flight.attempt->lastProgress = now;
        if (HostLink *link = m_directory.find(flight.attempt->host)) {
            requestMissingChunks(flight, *link);
        }
    }
    for (const auto &[host, link] : m_directory.links()) {
        if (!link->reachable(now) && now - link->opened() > m_settings.link.unreachableAfter) {
            hostLost(host, now);
        }
    }
}

// A stream meets its deadline when its first part has been sent.
void CallRunner::expire(Flight &flight, TimePoint now)
{
    if (flight.headSent) {
        return;
    }
    const RunState run = flight.attempt ? RunState::Unknown : RunState::NotRun;
    cancelAttempt(flight);
    refuse(flight,
           {{ResultCode::DeadlineExceeded, "the deadline passed before the answer"}, run, Duration::zero()},
           now);
}

void CallRunner::refuseAll(const Error &error, TimePoint now)
{
    for (const std::string &requestId : m_table.select([](const Flight &) { return true; })) {
        Flight &flight = *m_table.find(requestId);
        const RunState run = flight.attempt ? RunState::Unknown : RunState::NotRun;
        cancelAttempt(flight);
        refuse(flight, {error, run, Duration::zero()}, now);
    }
}

std::size_t CallRunner::flights() const
{
    return m_table.size();
}

} // namespace celeryroute
