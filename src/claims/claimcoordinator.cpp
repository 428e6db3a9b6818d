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

bool reflectsAction(ClaimPhase phase, proto::ClaimAction verdict)
{
    return phase == ClaimPhase::Done || (phase == ClaimPhase::Tombstoned && verdict == proto::TOMBSTONE)
        || (phase == ClaimPhase::InDoubt && verdict == proto::IN_DOUBT);
}

} // namespace

ClaimCoordinator::ClaimCoordinator(std::string entry)
    : m_entry(std::move(entry))
{}

void ClaimCoordinator::setLogReachable(bool reachable)
{
    m_logReachable = reachable;
}

void ClaimCoordinator::begin(const std::string &callId,
                             const ClaimRequest &request,
                             TimePoint deadline,
                             ClockReading now)
{
    Wait wait;
    wait.request = request;
    wait.deadline = deadline;
    m_waits.emplace(callId, std::move(wait));
    judge(callId, now);
}

void ClaimCoordinator::judge(const std::string &callId, ClockReading now)
{
    const auto found = m_waits.find(callId);
    if (found == m_waits.end()) {
        return;
    }
    if (found->second.claimId.empty()) {
        judgeUnclaimed(callId, found->second, now);
    } else {
        judgeClaimed(callId, found->second, now);
    }
}

void ClaimCoordinator::judgeUnclaimed(const std::string &callId, Wait &wait, ClockReading now)
{
    const ClaimDecision decision = decideClaim(m_table, wait.request, now.wallMs);
    if (std::holds_alternative<NewClaim>(decision)) {
        claim(callId, wait, now);
    } else if (const auto *repeated = std::get_if<CallCompleted>(&decision)) {
        conclude(callId, ClaimReplay{repeated->claim->answer});
    } else if (const auto *doubt = std::get_if<CallInDoubt>(&decision)) {
        conclude(callId, ClaimDenied{callInDoubtError(*doubt->claim), RunState::Unknown});
    } else if (const auto *refused = std::get_if<ClaimRefused>(&decision)) {
        conclude(callId, ClaimDenied{refused->error, RunState::NotRun});
    }
}

void ClaimCoordinator::claim(const std::string &callId, Wait &wait, ClockReading now)
{
    if (!m_logReachable) {
        conclude(callId, claimUnrecorded("the log cannot be reached"));
        return;
    }
    if (m_own.size() >= MaxOwnClaims) {
        conclude(callId, claimUnrecorded("too many claims of this entry are not settled"));
        return;
    }
    OwnClaim own;
    own.claim.customer = wait.request.customer;
    own.claim.route = wait.request.route;
    own.claim.keyDigest = wait.request.key.digest;
    own.claim.keyTimeMs = wait.request.key.timeMs;
    own.claim.requestDigest = wait.request.requestDigest;
    own.claim.claimId = absl::StrCat(m_entry, "/", ++m_lastClaim);
    own.claim.entry = m_entry;
    own.claim.wallTimeMs = now.wallMs;
    own.callId = callId;
    wait.claimId = own.claim.claimId;
    wait.claimedAt = now.time;
    m_batcher.add(toItem(own.claim, proto::CLAIM), now.time);
    m_own.emplace(wait.claimId, std::move(own));
}

// A confirmed append does not show which claim won the key; only the table does.
void ClaimCoordinator::judgeClaimed(const std::string &callId, Wait &wait, ClockReading now)
{
    const ClaimTable::ClaimPtr held = m_table.find(wait.request.customer, wait.request.key.digest);
    OwnClaim &own = m_own.at(wait.claimId);
    if (held && held->claimId == wait.claimId && held->phase == ClaimPhase::Claimed) {
        own.phase = OwnPhase::Won;
        own.claim.offset = held->offset;
        m_won.emplace(callId, wait.claimId);
        conclude(callId, ClaimWon{wait.claimId, held->offset});
    } else if (held && held->claimId != wait.claimId && held->phase != ClaimPhase::Tombstoned) {
        follow(callId, wait, now);
    } else if (hadNoEffect(own)) {
        m_own.erase(wait.claimId);
        wait.claimId.clear();
        conclude(callId, claimUnrecorded("the claim was refused"));
    }
}

// The claim of this entry is kept as abandoned because it may still reach the log after the other claim
// was tombstoned.
void ClaimCoordinator::follow(const std::string &callId, Wait &wait, ClockReading now)
{
    abandonClaim(wait);
    judge(callId, now);
}

void ClaimCoordinator::abandonClaim(Wait &wait)
{
    const auto own = m_own.find(wait.claimId);
    if (own != m_own.end()) {
        own->second.phase = OwnPhase::Abandoned;
    }
    wait.claimId.clear();
}

bool ClaimCoordinator::hadNoEffect(const OwnClaim &own) const
{
    if (!own.offset || m_nextOffset <= *own.offset) {
        return false;
    }
    const ClaimTable::ClaimPtr held = m_table.find(own.claim.customer, own.claim.keyDigest);
    return !held || held->claimId != own.claim.claimId;
}

void ClaimCoordinator::abandon(const std::string &callId, ClockReading now)
{
    const auto wait = m_waits.find(callId);
    if (wait == m_waits.end()) {
        return;
    }
    abandonClaim(wait->second);
    m_waits.erase(wait);
    tick(now);
}

void ClaimCoordinator::conclude(const std::string &callId, ClaimResult verdict)
{
    m_waits.erase(callId);
    m_notices.push_back({callId, std::move(verdict)});
}

bool ClaimCoordinator::ran(const std::string &callId, RecordedAnswer answer, ClockReading now)
{
    return record(callId, proto::OUTCOME, std::move(answer), now);
}

bool ClaimCoordinator::notRun(const std::string &callId, ClockReading now)
{
    return record(callId, proto::TOMBSTONE, {}, now);
}

bool ClaimCoordinator::inDoubt(const std::string &callId, ClockReading now)
{
    return record(callId, proto::IN_DOUBT, {}, now);
}

bool ClaimCoordinator::record(const std::string &callId,
                              proto::ClaimAction verdict,
                              RecordedAnswer answer,
                              ClockReading now)
{
    const auto won = m_won.find(callId);
    if (won == m_won.end()) {
        return false;
    }
    OwnClaim &own = m_own.at(won->second);
    m_won.erase(won);
    own.phase = OwnPhase::Settling;
    own.verdict = verdict;
    own.claim.answer = std::move(answer);
    addVerdict(own, now.time);
    return true;
}

void ClaimCoordinator::addVerdict(OwnClaim &own, TimePoint now)
{
    own.recordedAt = now;
    m_batcher.add(toItem(own.claim, own.verdict), now);
}

void ClaimCoordinator::show(const ClaimTable &table, std::uint64_t nextOffset, ClockReading now)
{
    m_table = table;
    m_nextOffset = nextOffset;
    for (const std::string &callId : keysOf(m_waits)) {
        judge(callId, now);
    }
    tick(now);
}

// A claim that appears in the table after its caller was told "not run" gets a tombstone, so that a
// repeated call may run. It is erased only when its record can have no further effect.
bool ClaimCoordinator::review(OwnClaim &own, ClockReading now)
{
    const ClaimTable::ClaimPtr held = m_table.find(own.claim.customer, own.claim.keyDigest);
    const bool holds = held && held->claimId == own.claim.claimId;
    if (own.phase == OwnPhase::Abandoned) {
        if (holds && held->phase == ClaimPhase::Claimed) {
            own.phase = OwnPhase::Settling;
            own.verdict = proto::TOMBSTONE;
            addVerdict(own, now.time);
            return false;
        }
        return holds || hadNoEffect(own) || now.wallMs - own.claim.wallTimeMs > ClaimWindowMs;
    }
    if (own.phase != OwnPhase::Settling) {
        return false;
    }
    if (!holds || reflectsAction(held->phase, own.verdict)) {
        return true;
    }
    if (now.time - own.recordedAt >= RecordRetryInterval) {
        addVerdict(own, now.time);
    }
    return false;
}

void ClaimCoordinator::settle(std::uint64_t number, BatchOutcome fate, std::uint64_t offset, ClockReading now)
{
    const auto batch = m_batches.find(number);
    if (batch == m_batches.end()) {
        return;
    }
    const std::vector<std::string> claimIds = std::move(batch->second);
    m_batches.erase(batch);
    for (const std::string &claimId : claimIds) {
        const auto own = m_own.find(claimId);
        if (own == m_own.end()) {
            continue;
        }
        if (fate == BatchOutcome::Appended) {
            own->second.offset = offset;
            const std::string callId = own->second.callId;
            judge(callId, now);
        } else if (fate == BatchOutcome::NotAppended) {
            refuseClaim(claimId);
        }
    }
}

void ClaimCoordinator::refuseClaim(const std::string &claimId)
{
    const OwnClaim &own = m_own.at(claimId);
    if (own.phase == OwnPhase::Won || own.phase == OwnPhase::Settling) {
        return;
    }
    const std::string callId = own.callId;
    m_own.erase(claimId);
    const auto wait = m_waits.find(callId);
    if (wait != m_waits.end() && wait->second.claimId == claimId) {
        conclude(callId, claimUnrecorded("the log did not take the claim"));
    }
}

void ClaimCoordinator::expire(const std::string &callId, ClockReading now)
{
    Wait &wait = m_waits.at(callId);
    if (!wait.claimId.empty() && (now.time >= wait.deadline || now.time - wait.claimedAt >= MaxClaimWait)) {
        abandonClaim(wait);
        conclude(callId, claimUnrecorded("the log did not confirm the claim in time"));
    } else if (wait.claimId.empty() && now.time >= wait.deadline) {
        conclude(callId, claimInProgress());
    }
}

void ClaimCoordinator::tick(ClockReading now)
{
    for (const std::string &callId : keysOf(m_waits)) {
        expire(callId, now);
    }
    for (auto own = m_own.begin(); own != m_own.end();) {
        own = review(own->second, now) ? m_own.erase(own) : std::next(own);
    }
}

std::optional<PendingBatch> ClaimCoordinator::takeBatch(TimePoint now)
{
    std::optional<proto::ClaimBatch> batch = m_batcher.take(now);
    if (!batch) {
        return std::nullopt;
    }
    PendingBatch pending{++m_lastBatch, std::move(*batch)};
    std::vector<std::string> &claimIds = m_batches[pending.number];
    for (const proto::ClaimItem &item : pending.batch.items()) {
        if (item.action() == proto::CLAIM) {
            claimIds.push_back(item.claim_id());
        }
    }
    return pending;
}

std::vector<ClaimNotification> ClaimCoordinator::takeNotices()
{
    return std::exchange(m_notices, {});
}

} // namespace celeryroute
