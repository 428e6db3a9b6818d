#pragma once

#include <celeryroute/detail/claims/claim.h>
#include <celeryroute/error.h>

#include <string>
#include <variant>

namespace celeryroute {

/// The call may be dispatched exactly once under this claim.
struct ClaimWon {
    std::string claimId;
    std::uint64_t offset = 0;
    bool operator==(const ClaimWon &) const = default;
};

/// The call has already run; contains its recorded answer.
struct ClaimReplay {
    RecordedAnswer answer;
    bool operator==(const ClaimReplay &) const = default;
};

/// The call must not be dispatched.
struct ClaimDenied {
    Error error;
    RunState run = RunState::NotRun;
    bool operator==(const ClaimDenied &) const = default;
};

using ClaimResult = std::variant<ClaimWon, ClaimReplay, ClaimDenied>;

/// The result of one waiting call; each call gets exactly one.
struct ClaimNotification {
    std::string callId;
    ClaimResult result;
    bool operator==(const ClaimNotification &) const = default;
};

} // namespace celeryroute
