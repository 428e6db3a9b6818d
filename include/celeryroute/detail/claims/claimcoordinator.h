#pragma once

#include <celeryroute/detail/claims/claimbatcher.h>
#include <celeryroute/detail/claims/claimdecision.h>
#include <celeryroute/detail/claims/claimresult.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// The current time on the monotonic clock and on the wall clock.
struct ClockReading {
    TimePoint time;
    std::int64_t wallMs = 0;
};

/// Outcome of appending a batch to the log.
enum class BatchOutcome {
    Appended, ///< The batch is in the log.
    NotAppended, ///< The batch is not in the log and never will be.
    InDoubt, ///< The batch may be in the log or may still arrive there at any later time.
};

/// A batch that the entry must append to the log.
struct PendingBatch {
    std::uint64_t number = 0;
    proto::ClaimBatch batch;
};

/// @brief Decides which non-repeatable calls an entry dispatches.
///
/// Reads no clock and performs no I/O: the owner appends the batches, reports their outcome and passes
/// in each new claim table. A call is dispatched only if the table shows its claim in phase Claimed.
class ClaimCoordinator
{
public:
    /// Maximum time that a call waits until its claim is read back from the log.
    static constexpr Duration MaxClaimWait = std::chrono::seconds(3);
    /// Time after which a result that the table does not show is recorded again.
    static constexpr Duration RecordRetryInterval = std::chrono::seconds(1);
    static constexpr std::size_t MaxOwnClaims = 100'000;

    explicit ClaimCoordinator(std::string entry);

    /// @brief Sets whether the log is reachable; new claims are refused immediately while it is not.
    void setLogReachable(bool reachable);
    /// @brief Starts the claim of call @p callId; its result is available by @p deadline.
    void startClaim(const std::string &callId, const ClaimRequest &request, TimePoint deadline, ClockReading now);
    /// @brief Records the answer of a dispatched call. Returns false if @p callId holds no claim won here.
    bool recordOutcome(const std::string &callId, RecordedAnswer answer, ClockReading now);
    /// @brief Records that the call was never dispatched, or that its agent guarantees that it did not and will not
    /// run.
    bool recordNotRun(const std::string &callId, ClockReading now);
    /// @brief Records that the dispatched call may have run.
    bool recordInDoubt(const std::string &callId, ClockReading now);
    /// @brief Stops waiting for the claim of the call; the claim will never be dispatched.
    void abandonCall(const std::string &callId, ClockReading now);

    /// @brief Replaces the claim table; @p table reflects all records before @p nextOffset.
    void updateTable(const ClaimTable &table, std::uint64_t nextOffset, ClockReading now);
    /// @brief Reports the outcome of batch @p number; @p offset is used only if the batch was appended.
    void completeBatch(std::uint64_t number, BatchOutcome outcome, std::uint64_t offset, ClockReading now);
    /// @brief Ends waits that have timed out and updates the claims of this entry.
    void tick(ClockReading now);

    /// @brief Returns the next batch to append if one is due.
    std::optional<PendingBatch> takeBatch(TimePoint now);
    /// @brief Returns the results available since the previous call of this function.
    std::vector<ClaimNotification> takeNotifications();
    std::size_t waitingCallCount() const
    {
        return m_pendingCalls.size();
    }
    /// @brief Number of claims of this entry that the table does not show as settled.
    std::size_t unsettledClaimCount() const
    {
        return m_ownClaims.size();
    }

private:
    /// A call that waits for its result.
    struct PendingCall {
        ClaimRequest request;
        TimePoint deadline;
        std::string claimId; ///< Empty while no claim of this call is pending, e.g. if another one holds the key.
        TimePoint claimedAt;
    };
    enum class OwnPhase { Claiming, Won, Abandoned, Settling };
    /// A claim that this entry has queued for the log.
    struct OwnClaim {
        Claim claim;
        std::string callId;
        OwnPhase phase = OwnPhase::Claiming;
        proto::ClaimAction settlingAction = proto::CLAIM_ACTION_UNSPECIFIED;
        TimePoint recordedAt;
        std::optional<std::uint64_t> offset; ///< Log offset of its record; set once the append is confirmed.
    };

    void evaluate(const std::string &callId, ClockReading now);
    void evaluateWithoutClaim(const std::string &callId, PendingCall &call, ClockReading now);
    void evaluateClaim(const std::string &callId, PendingCall &call, ClockReading now);
    void appendClaim(const std::string &callId, PendingCall &call, ClockReading now);
    void awaitOtherClaim(const std::string &callId, PendingCall &call, ClockReading now);
    void expireCall(const std::string &callId, ClockReading now);
    /// @brief Updates @p own from the current table. Returns true if it needs no further processing.
    bool advance(OwnClaim &own, ClockReading now);
    bool hadNoEffect(const OwnClaim &own) const;
    void abandonClaim(PendingCall &call);
    void refuseClaim(const std::string &claimId);
    bool
    settleClaim(const std::string &callId, proto::ClaimAction settlingAction, RecordedAnswer answer, ClockReading now);
    void queueSettlement(OwnClaim &own, TimePoint now);
    void finishCall(const std::string &callId, ClaimResult result);

    std::string m_entry;
    ClaimTable m_table;
    std::uint64_t m_nextOffset = 0;
    bool m_logReachable = true;
    ClaimBatcher m_batcher;
    std::uint64_t m_lastBatchNumber = 0;
    std::uint64_t m_lastClaimNumber = 0;
    std::map<std::uint64_t, std::vector<std::string>> m_claimIdsByBatch; ///< Ids of the new claims in each batch.
    std::map<std::string, PendingCall> m_pendingCalls; ///< By call id.
    std::map<std::string, std::string> m_wonClaims; ///< Claim id by call id.
    std::map<std::string, OwnClaim> m_ownClaims; ///< By claim id.
    std::vector<ClaimNotification> m_notifications;
};

} // namespace celeryroute
