#pragma once

#include <celeryroute/detail/platform/logoutcome.h>
#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/recordverdict.h>
#include <celeryroute/time.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Records of this process on their way into the log, until each is settled.
///
/// A record whose answer was lost is looked for in the log by its id; when the log was read past the
/// attempt without it, it is appended again under the same id.
class PendingRecords
{
public:
    /// Time after a lost answer in which the record may still arrive in the log by itself.
    static constexpr Duration SettleDelay = std::chrono::seconds(1);

    struct Append {
        std::string recordId;
        std::string bytes;
    };

    void add(const proto::LogRecord &record, std::uint64_t nextOffset);
    /// @brief Records to append now.
    std::vector<Append> takeAppends();
    void appendEnded(const std::string &recordId, const AppendOutcome &outcome, TimePoint now);
    /// @brief The record @p recordId was folded at @p offset.
    void folded(const std::string &recordId, std::uint64_t offset, FoldVerdict verdict, const Refusals &refusals);
    /// @brief @p state was taken from a snapshot, which may contain pending records.
    void stateReplaced(const FleetState &state);
    /// @brief The log was read to its end, up to @p nextOffset, by a read begun at @p readStartedAt.
    void logReadToEnd(std::uint64_t nextOffset, TimePoint readStartedAt);
    std::vector<RecordVerdict> takeVerdicts();
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
        bool everInDoubt = false;
        TimePoint endedAt;
        std::uint64_t submittedAt = 0; ///< Position of the state at submission.
        Error lastError;
    };

    void settle(const std::string &recordId, RecordVerdict verdict);

    std::map<std::string, Pending> m_pending;
    std::vector<std::string> m_queue;
    std::vector<RecordVerdict> m_verdicts;
};

} // namespace celeryroute
