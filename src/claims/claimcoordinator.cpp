#include <celeryroute/detail/claims/claimcoordinator.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace celeryroute {
namespace {

ClaimDenied claimUnrecorded(const std::string &reason)
{
    return {Error{ResultCode::ClaimUnrecorded, absl::StrCat("the call was not run: ", reason)}, RunState::NotRun};
}

ClaimDenied claimInProgress()
{
    return {Error{ResultCode::ClaimInProgress,
                  "a call with this idempotency key is running; send it again with the same key for its answer"},
            RunState::Unknown};
}

template <typename Map>
std::vector<std::string> keysOf(const Map &map)
{
    std::vector<std::string> keys;
    keys.reserve(map.size());
    for (const auto &[key, value] : map) {
        keys.push_back(key);
    }
    return keys;
}

bool reflectsAction(ClaimPhase phase, proto::ClaimAction settlingAction)
{
    return phase == ClaimPhase::Done || (phase == ClaimPhase::Tombstoned && settlingAction == proto::TOMBSTONE)
        || (phase == ClaimPhase::InDoubt && settlingAction == proto::IN_DOUBT);
}

} // namespace

ClaimCoordinator::ClaimCoordinator(std::string entry)
    : m_entry(std::move(entry))
{}

void ClaimCoordinator::setLogReachable(bool reachable)
{
    m_logReachable = reachable;
}

void ClaimCoordinator::startClaim(const std::string &callId,
                                  const ClaimRequest &request,
                                  TimePoint deadline,
                                  ClockReading now)
{
    PendingCall call;
    call.request = request;
    call.deadline = deadline;
    m_pendingCalls.emplace(callId, std::move(call));
    evaluate(callId, now);
}

void ClaimCoordinator::evaluate(const std::string &callId, ClockReading now)
{
    const auto found = m_pendingCalls.find(callId);
    if (found == m_pendingCalls.end()) {
        return;
    }
    if (found->second.claimId.empty()) {
        evaluateWithoutClaim(callId, found->second, now);
    } else {
        evaluateClaim(callId, found->second, now);
    }
}

void ClaimCoordinator::evaluateWithoutClaim(const std::string &callId, PendingCall &call, ClockReading now)
{
    const ClaimDecision decision = decideClaim(m_table, call.request, now.wallMs);
    if (std::holds_alternative<NewClaim>(decision)) {
        appendClaim(callId, call, now);
    } else if (const auto *repeated = std::get_if<CallCompleted>(&decision)) {
        finishCall(callId, ClaimReplay{repeated->claim->answer});
    } else if (const auto *doubt = std::get_if<CallInDoubt>(&decision)) {
        finishCall(callId, ClaimDenied{callInDoubtError(*doubt->claim), RunState::Unknown});
    } else if (const auto *refused = std::get_if<ClaimRefused>(&decision)) {
        finishCall(callId, ClaimDenied{refused->error, RunState::NotRun});
    }
}

void ClaimCoordinator::appendClaim(const std::string &callId, PendingCall &call, ClockReading now)
{
    if (!m_logReachable) {
        finishCall(callId, claimUnrecorded("the log cannot be reached"));
        return;
    }
    if (m_ownClaims.size() >= MaxOwnClaims) {
        finishCall(callId, claimUnrecorded("too many claims of this entry are not settled"));
        return;
    }
    OwnClaim own;
    own.claim.customer = call.request.customer;
    own.claim.route = call.request.route;
    own.claim.keyDigest = call.request.key.digest;
    own.claim.keyTimeMs = call.request.key.timeMs;
    own.claim.requestDigest = call.request.requestDigest;
    own.claim.claimId = absl::StrCat(m_entry, "/", ++m_lastClaimNumber);
    own.claim.entry = m_entry;
    own.claim.wallTimeMs = now.wallMs;
    own.callId = callId;
    call.claimId = own.claim.claimId;
    call.claimedAt = now.time;
    m_batcher.add(toItem(own.claim, proto::CLAIM), now.time);
    m_ownClaims.emplace(call.claimId, std::move(own));
}

// The table decides which claim won the key: a confirmed append shows only that this claim is in the log, not
// that it is the first one for the key.
void ClaimCoordinator::evaluateClaim(const std::string &callId, PendingCall &call, ClockReading now)
{
    const ClaimTable::ClaimPtr held = m_table.find(call.request.customer, call.request.key.digest);
    OwnClaim &own = m_ownClaims.at(call.claimId);
    if (held && held->claimId == call.claimId && held->phase == ClaimPhase::Claimed) {
        own.phase = OwnPhase::Won;
        own.claim.offset = held->offset;
        m_wonClaims.emplace(callId, call.claimId);
        finishCall(callId, ClaimWon{call.claimId, held->offset});
    } else if (held && held->claimId != call.claimId && held->phase != ClaimPhase::Tombstoned) {
        awaitOtherClaim(callId, call, now);
    } else if (hadNoEffect(own)) {
        m_ownClaims.erase(call.claimId);
        call.claimId.clear();
        finishCall(callId, claimUnrecorded("the claim was refused"));
    }
}

// The own claim lost the key but is kept in phase Abandoned. It may still reach the log after the other claim
// was tombstoned, and would then hold the key.
void ClaimCoordinator::awaitOtherClaim(const std::string &callId, PendingCall &call, ClockReading now)
{
    abandonClaim(call);
    evaluate(callId, now);
}

void ClaimCoordinator::abandonClaim(PendingCall &call)
{
    const auto own = m_ownClaims.find(call.claimId);
    if (own != m_ownClaims.end()) {
        own->second.phase = OwnPhase::Abandoned;
    }
    call.claimId.clear();
}

bool ClaimCoordinator::hadNoEffect(const OwnClaim &own) const
{
    if (!own.offset || m_nextOffset <= *own.offset) {
        return false;
    }
    const ClaimTable::ClaimPtr held = m_table.find(own.claim.customer, own.claim.keyDigest);
    return !held || held->claimId != own.claim.claimId;
}

void ClaimCoordinator::abandonCall(const std::string &callId, ClockReading now)
{
    const auto call = m_pendingCalls.find(callId);
    if (call == m_pendingCalls.end()) {
        return;
    }
    abandonClaim(call->second);
    m_pendingCalls.erase(call);
    tick(now);
}

void ClaimCoordinator::finishCall(const std::string &callId, ClaimResult result)
{
    m_pendingCalls.erase(callId);
    m_notifications.push_back({callId, std::move(result)});
}

bool ClaimCoordinator::recordOutcome(const std::string &callId, RecordedAnswer answer, ClockReading now)
{
    return settleClaim(callId, proto::OUTCOME, std::move(answer), now);
}

bool ClaimCoordinator::recordNotRun(const std::string &callId, ClockReading now)
{
    return settleClaim(callId, proto::TOMBSTONE, {}, now);
}

bool ClaimCoordinator::recordInDoubt(const std::string &callId, ClockReading now)
{
    return settleClaim(callId, proto::IN_DOUBT, {}, now);
}

bool ClaimCoordinator::settleClaim(const std::string &callId,
                                   proto::ClaimAction settlingAction,
                                   RecordedAnswer answer,
                                   ClockReading now)
{
    const auto won = m_wonClaims.find(callId);
    if (won == m_wonClaims.end()) {
        return false;
    }
    OwnClaim &own = m_ownClaims.at(won->second);
    m_wonClaims.erase(won);
    own.phase = OwnPhase::Settling;
    own.settlingAction = settlingAction;
    own.claim.answer = std::move(answer);
    queueSettlement(own, now.time);
    return true;
}

void ClaimCoordinator::queueSettlement(OwnClaim &own, TimePoint now)
{
    own.recordedAt = now;
    m_batcher.add(toItem(own.claim, own.settlingAction), now);
}

void ClaimCoordinator::updateTable(const ClaimTable &table, std::uint64_t nextOffset, ClockReading now)
{
    m_table = table;
    m_nextOffset = nextOffset;
    for (const std::string &callId : keysOf(m_pendingCalls)) {
        evaluate(callId, now);
    }
    tick(now);
}

// An abandoned claim may reach the table after its caller was told that the call was not run. The claim then
// gets a tombstone, so that a repeated call may run. The claim is erased only when its record in the log can
// have no further effect.
bool ClaimCoordinator::advance(OwnClaim &own, ClockReading now)
{
    const ClaimTable::ClaimPtr held = m_table.find(own.claim.customer, own.claim.keyDigest);
    const bool holds = held && held->claimId == own.claim.claimId;
    if (own.phase == OwnPhase::Abandoned) {
        if (holds && held->phase == ClaimPhase::Claimed) {
            own.phase = OwnPhase::Settling;
            own.settlingAction = proto::TOMBSTONE;
            queueSettlement(own, now.time);
            return false;
        }
        return holds || hadNoEffect(own) || now.wallMs - own.claim.wallTimeMs > ClaimWindowMs;
    }
    if (own.phase != OwnPhase::Settling) {
        return false;
    }
    if (!holds || reflectsAction(held->phase, own.settlingAction)) {
        return true;
    }
    if (now.time - own.recordedAt >= RecordRetryInterval) {
        queueSettlement(own, now.time);
    }
    return false;
}

void ClaimCoordinator::completeBatch(std::uint64_t number, BatchOutcome outcome, std::uint64_t offset, ClockReading now)
{
    const auto batch = m_claimIdsByBatch.find(number);
    if (batch == m_claimIdsByBatch.end()) {
        return;
    }
    const std::vector<std::string> claimIds = std::move(batch->second);
    m_claimIdsByBatch.erase(batch);
    for (const std::string &claimId : claimIds) {
        const auto own = m_ownClaims.find(claimId);
        if (own == m_ownClaims.end()) {
            continue;
        }
        if (outcome == BatchOutcome::Appended) {
            own->second.offset = offset;
            const std::string callId = own->second.callId;
            evaluate(callId, now);
        } else if (outcome == BatchOutcome::NotAppended) {
            refuseClaim(claimId);
        }
    }
}

void ClaimCoordinator::refuseClaim(const std::string &claimId)
{
    const OwnClaim &own = m_ownClaims.at(claimId);
    if (own.phase == OwnPhase::Won || own.phase == OwnPhase::Settling) {
        return;
    }
    const std::string callId = own.callId;
    m_ownClaims.erase(claimId);
    const auto call = m_pendingCalls.find(callId);
    if (call != m_pendingCalls.end() && call->second.claimId == claimId) {
        finishCall(callId, claimUnrecorded("the log did not take the claim"));
    }
}

void ClaimCoordinator::expireCall(const std::string &callId, ClockReading now)
{
    PendingCall &call = m_pendingCalls.at(callId);
    if (!call.claimId.empty() && (now.time >= call.deadline || now.time - call.claimedAt >= MaxClaimWait)) {
        abandonClaim(call);
        finishCall(callId, claimUnrecorded("the log did not confirm the claim in time"));
    } else if (call.claimId.empty() && now.time >= call.deadline) {
        finishCall(callId, claimInProgress());
    }
}

void ClaimCoordinator::tick(ClockReading now)
{
    for (const std::string &callId : keysOf(m_pendingCalls)) {
        expireCall(callId, now);
    }
    for (auto own = m_ownClaims.begin(); own != m_ownClaims.end();) {
        own = advance(own->second, now) ? m_ownClaims.erase(own) : std::next(own);
    }
}

std::optional<PendingBatch> ClaimCoordinator::takeBatch(TimePoint now)
{
    std::optional<proto::ClaimBatch> batch = m_batcher.take(now);
    if (!batch) {
        return std::nullopt;
    }
    PendingBatch pending{++m_lastBatchNumber, std::move(*batch)};
    std::vector<std::string> &claimIds = m_claimIdsByBatch[pending.number];
    for (const proto::ClaimItem &item : pending.batch.items()) {
        if (item.action() == proto::CLAIM) {
            claimIds.push_back(item.claim_id());
        }
    }
    return pending;
}

std::vector<ClaimNotification> ClaimCoordinator::takeNotifications()
{
    return std::exchange(m_notifications, {});
}

} // namespace celeryroute
