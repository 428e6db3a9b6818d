#pragma once

#include <records.pb.h>

#include <cstdint>
#include <memory>
#include <string>

namespace celeryroute {

/// What the log says about the call of a claim.
enum class ClaimPhase {
    Claimed, ///< May be running, or may be about to.
    Tombstoned, ///< Was not and will not be dispatched; another claim may win the key.
    Done, ///< Ran; the answer is recorded.
    InDoubt, ///< Was dispatched; whether it ran is not known.
};

/// The recorded answer of a call that ran.
struct RecordedAnswer {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body; ///< SHA-256 of the whole body when truncated.
    bool truncated = false;
    bool operator==(const RecordedAnswer &) const = default;
};

/// The claim that holds an idempotency key of a customer.
struct Claim {
    ClaimPhase phase = ClaimPhase::Claimed;
    std::string customer;
    std::string route;
    std::string keyDigest;
    std::string requestDigest;
    std::string claimId;
    std::string entry; ///< Incarnation of the entry that claimed.
    std::string targetHost; ///< Host whose agent may run the claim.
    std::string targetIncarnation; ///< Incarnation of that agent.
    std::int64_t keyTimeMs = 0; ///< Creation time that the key carries; 0 when none.
    std::int64_t wallTimeMs = 0; ///< Of the claim, on the clock of its entry.
    std::uint64_t offset = 0; ///< Log offset of the record that holds the claim.
    RecordedAnswer answer; ///< Set when phase is Done.
    bool operator==(const Claim &) const = default;

    /// @brief Time from which the window for repeats counts.
    std::int64_t ageBaseMs() const
    {
        return keyTimeMs != 0 ? keyTimeMs : wallTimeMs;
    }
};

/// @brief The name of @p phase in operators' output.
std::string toString(ClaimPhase phase);

/// @brief The claim that @p item asks for, in phase Claimed.
Claim claimFrom(const proto::ClaimItem &item, std::uint64_t offset);

/// @brief An item of @p action about @p claim; carries the answer for an outcome only.
proto::ClaimItem toItem(const Claim &claim, proto::ClaimAction action);

/// @brief The answer as it may be recorded: whole, or by digest and status when it is too large.
RecordedAnswer recordable(std::uint32_t status, std::string contentType, std::string body);

} // namespace celeryroute
