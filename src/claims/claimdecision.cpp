#include <celeryroute/detail/claims/claimdecision.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {
namespace {

ClaimRefused refuse(ResultCode code, std::string message)
{
    return ClaimRefused{Error{code, std::move(message)}};
}

ClaimDecision decideHeld(const ClaimTable::ClaimPtr &claim, const ClaimRequest &request, std::int64_t wallNowMs)
{
    if (claim->route != request.route || claim->requestDigest != request.requestDigest) {
        return refuse(ResultCode::IdempotencyKeyReused,
                      absl::StrCat("the idempotency key belongs to another call on route ", claim->route));
    }
    if (claim->phase == ClaimPhase::Done) {
        return CallCompleted{claim};
    }
    const bool isOverdue = wallNowMs - claim->wallTimeMs > MaxCallTimeMs;
    if (claim->phase == ClaimPhase::InDoubt || isOverdue) {
        return CallInDoubt{claim};
    }
    return CallInProgress{claim};
}

ClaimDecision decideFree(const ClaimTable &table, const ClaimRequest &request)
{
    if (table.claimCount() >= MaxClaims) {
        return refuse(ResultCode::ClaimUnrecorded, "no room for a further call that may not be repeated");
    }
    if (request.key.timeMs == 0 && table.retiredCount() >= MaxRetiredKeys) {
        return refuse(ResultCode::IdempotencyKeyInvalid,
                      "no further key without a creation time is accepted: send a UUID of version 7");
    }
    return NewClaim{};
}

} // namespace

// The clock of this entry can narrow the window given by the table but never widen it.
ClaimDecision decideClaim(const ClaimTable &table, const ClaimRequest &request, std::int64_t wallNowMs)
{
    ClaimTable::ClaimPtr claim = table.find(request.customer, request.key.digest);
    if (claim && claim->phase == ClaimPhase::Tombstoned) {
        claim = nullptr;
    }
    if (claim && claim->ageBaseMs() >= table.horizonMs()) {
        return decideHeld(claim, request, wallNowMs);
    }
    const std::int64_t horizonMs = std::max(table.horizonMs(), wallNowMs - ClaimWindowMs);
    const bool isDated = request.key.timeMs != 0;
    if (claim || table.isRetired(request.customer, request.key.digest) || (isDated && request.key.timeMs < horizonMs)) {
        return refuse(ResultCode::IdempotencyKeyExpired,
                      "the idempotency key is older than the window in which repeats are recognized (24 h)");
    }
    if (isDated && request.key.timeMs > wallNowMs + MaxClockSkewMs) {
        return refuse(ResultCode::IdempotencyKeyInvalid, "the idempotency key is dated in the future");
    }
    return decideFree(table, request);
}

Error callInDoubtError(const Claim &claim)
{
    const std::string where = claim.targetHost.empty() ? "" : absl::StrCat(" at host ", claim.targetHost);
    return Error{
        ResultCode::OutcomeUnknown,
        absl::StrCat("the call of route ",
                     claim.route,
                     " may have run",
                     where,
                     "; it is not run again. Ask the service whether it knows the call, and operators for claim ",
                     claim.claimId)};
}

} // namespace celeryroute
