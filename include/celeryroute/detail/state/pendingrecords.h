#pragma once

#include <celeryroute/detail/platform/logoutcome.h>
#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/recordresult.h>
#include <celeryroute/time.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Records that this process appends to the log, until the result of each is known.
///
/// A record whose append response was lost is searched for in the log by its id. If the log was read to
/// its end after the attempt without finding it, the record is appended again with the same id.
class PendingRecords
{
public:
    /// Time after a lost append response during which the record may still arrive in the log.
    static constexpr Duration SettleDelay = std::chrono::seconds(1);

    struct Append {
        std::string recordId;
        std::string bytes;
    };

    void add(const proto::LogRecord &record, std::uint64_t nextOffset);
    /// @brief Returns the records to append now.
    std::vector<Append> takeAppends();
    void handleAppendOutcome(const std::string &recordId, const AppendOutcome &outcome, TimePoint now);
    /// @brief Settles the record @p recordId, which was folded at @p offset.
    void handleFolded(const std::string &recordId, std::uint64_t offset, FoldStatus status, const Refusals &refusals);
    /// @brief Settles records that are contained in @p state, which was taken from a snapshot.
    void handleStateReplaced(const FleetState &state);
    /// @brief Requeues or settles records that were not found although a read that began at
    /// @p readStartedAt reached the end of the log, at @p nextOffset.
    void handleLogReadToEnd(std::uint64_t nextOffset, TimePoint readStartedAt);
    std::vector<RecordResult> takeResults();
    std::size_t size() const;

private:
    enum class Phase {
        Queued,
        Sent,
        InDoubt,
        Appended,
    };

    struct Pending {
        std::string bytes;
        Phase phase = Phase::Queued;
        bool wasInDoubt = false;
        TimePoint endedAt;
        std::uint64_t submittedAt = 0; ///< Next offset of the state at submission.
        Error lastError;
    };

    void settle(const std::string &recordId, RecordResult result);

    std::map<std::string, Pending> m_pending;
    std::vector<std::string> m_queue;
    std::vector<RecordResult> m_results;
};

} // namespace celeryroute
