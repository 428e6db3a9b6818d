#pragma once

#include <records.pb.h>

#include <cstdint>
#include <memory>
#include <string>

namespace celeryroute {

/// State of a claimed call according to the log.
enum class ClaimPhase {
    Claimed, ///< The call may be running or may be started.
    Tombstoned, ///< The call was not and will not be dispatched; another claim may take the key.
    Done, ///< The call ran; its answer is recorded.
    InDoubt, ///< The call was dispatched; whether it ran is not known.
};

/// The recorded answer of a call that ran.
struct RecordedAnswer {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body; ///< SHA-256 of the whole body if `truncated` is set.
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
    std::string entry; ///< Incarnation of the entry that appended the claim.
    std::string targetHost; ///< Host whose agent may run the call.
    std::string targetIncarnation; ///< Incarnation of that agent.
    std::int64_t keyTimeMs = 0; ///< Creation time encoded in the key; 0 if there is none.
    std::int64_t wallTimeMs = 0; ///< Time of the claim on the clock of its entry.
    std::uint64_t offset = 0; ///< Log offset of the record that holds the claim.
    RecordedAnswer answer; ///< Valid in phase Done only.
    bool operator==(const Claim &) const = default;

    /// @brief Start of the window in which repeats are recognized, in Unix milliseconds.
    std::int64_t ageBaseMs() const
    {
        return keyTimeMs != 0 ? keyTimeMs : wallTimeMs;
    }
};

/// @brief Returns the name of @p phase used in operator output.
std::string toString(ClaimPhase phase);

/// @brief Builds the claim described by @p item, in phase Claimed.
Claim claimFrom(const proto::ClaimItem &item, std::uint64_t offset);

/// @brief Builds a log item that applies @p action to @p claim; only OUTCOME items carry the answer.
proto::ClaimItem toItem(const Claim &claim, proto::ClaimAction action);

/// @brief Builds the recorded form of an answer; a body above the size limit is replaced by its SHA-256 digest.
RecordedAnswer toRecordedAnswer(std::uint32_t status, std::string contentType, std::string body);

} // namespace celeryroute
