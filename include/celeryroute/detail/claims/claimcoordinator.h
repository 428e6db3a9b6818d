#pragma once

#include <celeryroute/detail/claims/claimbatcher.h>
#include <celeryroute/detail/claims/claimdecision.h>
#include <celeryroute/detail/claims/claimverdict.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A present time on both clocks.
struct ClaimNow {
    TimePoint time;
    std::int64_t wallMs = 0;
};

/// What became of the append of a batch.
enum class BatchFate {
    Appended, ///< It is in the log.
    NotAppended, ///< It is not in the log and never will be.
    InDoubt, ///< It may be in the log, or may come into it at any later time.
};

/// A batch that the entry has to append to the log.
struct PendingBatch {
    std::uint64_t number = 0;
    proto::ClaimBatch batch;
};

/// @brief Decides at an entry which calls that may not be repeated are dispatched.
///
/// Reads no clock and does no input or output: the owner appends the batches, tells what became of
/// them and shows each new table. Only a claim that is seen in the table, unsettled, is dispatched.
class ClaimCoordinator
{
public:
    /// Longest wait of a call for its claim to be read back.
    static constexpr Duration ClaimPatience = std::chrono::seconds(3);
    /// Time after which a verdict that the table does not show is recorded again.
    static constexpr Duration RecordAgainAfter = std::chrono::seconds(1);
    static constexpr std::size_t MaxOwnClaims = 100'000;

    explicit ClaimCoordinator(std::string entry);

    /// @brief Whether new claims are refused at once because the log does not take them.
    void setLogReachable(bool reachable);
    /// @brief Asks for the verdict of @p callId, at the latest at @p deadline.
    void begin(const std::string &callId, const ClaimRequest &request, TimePoint deadline, ClaimNow now);
    /// @brief The dispatched call ran; false when it was not won here.
    bool ran(const std::string &callId, RecordedAnswer answer, ClaimNow now);
    /// @brief The won call was never dispatched, or an agent vouches that it did not and will not run.
    bool notRun(const std::string &callId, ClaimNow now);
    /// @brief The dispatched call may have run.
    bool inDoubt(const std::string &callId, ClaimNow now);
    /// @brief The call does not wait any longer; its claim will never be dispatched.
    void abandon(const std::string &callId, ClaimNow now);

    /// @brief Shows the table after all records before @p nextOffset.
    void show(const ClaimTable &table, std::uint64_t nextOffset, ClaimNow now);
    /// @brief Tells what became of batch @p number; @p offset counts when it was appended.
    void settle(std::uint64_t number, BatchFate fate, std::uint64_t offset, ClaimNow now);
    /// @brief Ends waits whose time is over.
    void tick(ClaimNow now);

    /// @brief The next batch to append, when one is due.
    std::optional<PendingBatch> takeBatch(TimePoint now);
    /// @brief The verdicts given since the last call.
    std::vector<ClaimNotice> takeNotices();
    std::size_t waiting() const
    {
        return m_waits.size();
    }
    /// @brief Claims of this entry that the table does not show as settled.
    std::size_t unsettled() const
    {
        return m_own.size();
    }

private:
    /// A call without a verdict.
    struct Wait {
        ClaimRequest request;
        TimePoint deadline;
        std::string claimId; ///< Empty while another claim holds the key.
        TimePoint claimedAt;
    };
    enum class OwnPhase { Claiming, Won, Abandoned, Settling };
    /// A claim that this entry has sent to the log.
    struct OwnClaim {
        Claim claim;
        std::string callId;
        OwnPhase phase = OwnPhase::Claiming;
        proto::ClaimAction verdict = proto::CLAIM_ACTION_UNSPECIFIED;
        TimePoint recordedAt;
        std::optional<std::uint64_t> offset; ///< Of its record, when the append was answered.
    };

    void judge(const std::string &callId, ClaimNow now);
    void judgeUnclaimed(const std::string &callId, Wait &wait, ClaimNow now);
    void judgeClaimed(const std::string &callId, Wait &wait, ClaimNow now);
    void claim(const std::string &callId, Wait &wait, ClaimNow now);
    void follow(const std::string &callId, Wait &wait, ClaimNow now);
    void expire(const std::string &callId, ClaimNow now);
    /// @brief Whether nothing is left to do about @p own.
    bool review(OwnClaim &own, ClaimNow now);
    bool hadNoEffect(const OwnClaim &own) const;
    void abandonClaim(Wait &wait);
    void refuseClaim(const std::string &claimId);
    bool record(const std::string &callId, proto::ClaimAction verdict, RecordedAnswer answer, ClaimNow now);
    void addVerdict(OwnClaim &own, TimePoint now);
    void conclude(const std::string &callId, ClaimVerdict verdict);

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
    std::vector<ClaimNotice> m_notices;
};

} // namespace celeryroute
