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
    void begin(const std::string &callId, const ClaimRequest &request, TimePoint deadline, ClockReading now);
    /// @brief Records the answer of a dispatched call. Returns false if @p callId holds no claim won here.
    bool ran(const std::string &callId, RecordedAnswer answer, ClockReading now);
    /// @brief Records that the call was never dispatched, or that its agent guarantees that it did not and will not
    /// run.
    bool notRun(const std::string &callId, ClockReading now);
    /// @brief Records that the dispatched call may have run.
    bool inDoubt(const std::string &callId, ClockReading now);
    /// @brief Stops waiting for the claim of the call; the claim will never be dispatched.
    void abandon(const std::string &callId, ClockReading now);

    /// @brief Replaces the claim table; @p table reflects all records before @p nextOffset.
    void show(const ClaimTable &table, std::uint64_t nextOffset, ClockReading now);
    /// @brief Reports the outcome of batch @p number; @p offset is used only if the batch was appended.
    void settle(std::uint64_t number, BatchOutcome fate, std::uint64_t offset, ClockReading now);
    /// @brief Ends waits that have timed out and updates the claims of this entry.
    void tick(ClockReading now);

    /// @brief Returns the next batch to append if one is due.
    std::optional<PendingBatch> takeBatch(TimePoint now);
    /// @brief Returns the results available since the previous call of this function.
    std::vector<ClaimNotification> takeNotices();
    std::size_t waiting() const
    {
        return m_waits.size();
    }
    /// @brief Number of claims of this entry that the table does not show as settled.
    std::size_t unsettled() const
    {
        return m_own.size();
    }

private:
    /// A call that waits for its result.
    struct Wait {
        ClaimRequest request;
        TimePoint deadline;
        std::string claimId; ///< Empty if no claim of this call is pending, as while another claim holds the key.
        TimePoint claimedAt;
    };
    enum class OwnPhase { Claiming, Won, Abandoned, Settling };
    /// A claim that this entry has queued for the log.
    struct OwnClaim {
        Claim claim;
        std::string callId;
        OwnPhase phase = OwnPhase::Claiming;
        proto::ClaimAction verdict = proto::CLAIM_ACTION_UNSPECIFIED;
        TimePoint recordedAt;
        std::optional<std::uint64_t> offset; ///< Log offset of its record; set once the append is confirmed.
    };

    void judge(const std::string &callId, ClockReading now);
    void judgeUnclaimed(const std::string &callId, Wait &wait, ClockReading now);
    void judgeClaimed(const std::string &callId, Wait &wait, ClockReading now);
    void claim(const std::string &callId, Wait &wait, ClockReading now);
    void follow(const std::string &callId, Wait &wait, ClockReading now);
    void expire(const std::string &callId, ClockReading now);
    /// @brief Advances @p own by the current table. Returns true if it needs no further processing.
    bool review(OwnClaim &own, ClockReading now);
    bool hadNoEffect(const OwnClaim &own) const;
    void abandonClaim(Wait &wait);
    void refuseClaim(const std::string &claimId);
    bool record(const std::string &callId, proto::ClaimAction verdict, RecordedAnswer answer, ClockReading now);
    void addVerdict(OwnClaim &own, TimePoint now);
    void conclude(const std::string &callId, ClaimResult verdict);

    std::string m_entry;
    ClaimTable m_table;
    std::uint64_t m_nextOffset = 0;
    bool m_logReachable = true;
    ClaimBatcher m_batcher;
    std::uint64_t m_lastBatch = 0;
    std::uint64_t m_lastClaim = 0;
    std::map<std::uint64_t, std::vector<std::string>> m_batches; ///< Ids of the new claims in each batch.
    std::map<std::string, Wait> m_waits; ///< By call id.
    std::map<std::string, std::string> m_won; ///< Claim id by call id.
    std::map<std::string, OwnClaim> m_own; ///< By claim id.
    std::vector<ClaimNotification> m_notices;
};

} // namespace celeryroute
