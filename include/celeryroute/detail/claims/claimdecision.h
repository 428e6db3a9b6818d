#pragma once

#include <celeryroute/detail/claims/claimtable.h>
#include <celeryroute/detail/claims/idempotencykey.h>
#include <celeryroute/error.h>

#include <variant>

namespace celeryroute {

/// A non-repeatable call as its caller sent it.
struct ClaimRequest {
    std::string customer;
    std::string route;
    IdempotencyKey key;
    std::string requestDigest; ///< Digest of route, method, path and body.
    bool operator==(const ClaimRequest &) const = default;
};

/// No claim holds the key; a claim may be appended.
struct NewClaim {
    bool operator==(const NewClaim &) const = default;
};
/// The call has already run; the claim contains its answer.
struct CallCompleted {
    ClaimTable::ClaimPtr claim;
};
/// The call may be running now.
struct CallInProgress {
    ClaimTable::ClaimPtr claim;
};
/// Whether the call ran is not known; it is not run again.
struct CallInDoubt {
    ClaimTable::ClaimPtr claim;
};
/// The call is refused: IdempotencyKeyReused, IdempotencyKeyExpired, IdempotencyKeyInvalid or
/// ClaimUnrecorded. This request was not run.
struct ClaimRefused {
    Error error;
    bool operator==(const ClaimRefused &) const = default;
};

using ClaimDecision = std::variant<NewClaim, CallCompleted, CallInProgress, CallInDoubt, ClaimRefused>;

/// @brief Decides how to handle @p request at the wall-clock time @p wallNowMs (Unix milliseconds).
ClaimDecision decideClaim(const ClaimTable &table, const ClaimRequest &request, std::int64_t wallNowMs);

/// @brief Builds the error for the caller of a call in doubt; its message names what to check.
Error callInDoubtError(const Claim &claim);

} // namespace celeryroute
