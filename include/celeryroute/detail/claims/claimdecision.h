#pragma once

#include <celeryroute/detail/claims/claimtable.h>
#include <celeryroute/detail/claims/idempotencykey.h>
#include <celeryroute/error.h>

#include <variant>

namespace celeryroute {

/// A call that may not be repeated, as its caller sent it.
struct ClaimRequest {
    std::string customer;
    std::string route;
    IdempotencyKey key;
    std::string requestDigest; ///< Of route, method, path and body.
    bool operator==(const ClaimRequest &) const = default;
};

/// No claim holds the key; one may be appended.
struct NewClaim {
    bool operator==(const NewClaim &) const = default;
};
/// The call ran before; its answer is in the claim.
struct RepeatedCall {
    ClaimTable::ClaimPtr claim;
};
/// The call may be running now.
struct CallInProgress {
    ClaimTable::ClaimPtr claim;
};
/// Whether the call ran is not known and will not be tried out.
struct CallInDoubt {
    ClaimTable::ClaimPtr claim;
};
/// The call is refused: IdempotencyKeyReused, IdempotencyKeyExpired, IdempotencyKeyInvalid or
/// ClaimUnrecorded. This request was not run.
struct ClaimRefused {
    Error error;
    bool operator==(const ClaimRefused &) const = default;
};

using ClaimDecision = std::variant<NewClaim, RepeatedCall, CallInProgress, CallInDoubt, ClaimRefused>;

/// @brief What has to happen to @p request at the calendar time @p wallNowMs.
ClaimDecision decideClaim(const ClaimTable &table, const ClaimRequest &request, std::int64_t wallNowMs);

/// @brief What to tell the caller of a call that is in doubt, with what to check.
Error doubtError(const Claim &claim);

} // namespace celeryroute
