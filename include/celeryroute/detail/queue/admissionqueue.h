#pragma once

#include <celeryroute/detail/queue/backlogindex.h>
#include <celeryroute/detail/queue/classqueue.h>
#include <celeryroute/detail/queue/modelwaitindex.h>
#include <celeryroute/detail/queue/queueentry.h>
#include <celeryroute/detail/queue/queuelimits.h>
#include <celeryroute/detail/queue/runningset.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// Result of AdmissionQueue::start().
struct StartDecision {
    std::optional<QueueEntry> started; ///< Empty if no entry may start now.
    std::vector<RefusedEntry> refused; ///< Entries that can no longer meet their deadline.
    bool operator==(const StartDecision &) const = default;
};

/// Queue of the waiting and running attempts of one target.
///
/// Entries start in this order: by urgency class, with a guaranteed share for less urgent classes; within
/// a class by start-time fair queueing of tokens between customers; within a customer by deadline. Entries
/// whose model is not resident do not block other entries. An entry suspected of crashing targets runs alone
/// on the target.
///
/// Each queued entry leaves the waiting set in exactly one way: it is started, cancelled, or returned in
/// a list of refusals. Each operation takes O(log n) per entry that it moves.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueLimits limits);

    /// @brief Refuses @p entry (DeadlineUnreachable, QueueFull) or queues it.
    ///
    /// If the queue then exceeds its limits, waiting entries are evicted and returned with QueueFull.
    /// Has no effect if the attempt is already waiting or running.
    std::vector<RefusedEntry> submit(QueueEntry entry, TimePoint now);

    /// @brief Refuses the entries that can no longer meet their deadline (DeadlineUnreachable).
    std::vector<RefusedEntry> expire(TimePoint now);

    /// @brief Starts the next entry if a slot is free. Call it repeatedly until no entry is started.
    StartDecision start(TimePoint now);

    /// @brief Frees the slot of @p attemptId and corrects its charge from the worst-case number of tokens to
    /// @p tokensUsed.
    void finish(const std::string &attemptId, std::uint64_t tokensUsed);

    /// @brief Removes and returns a waiting entry. Returns nothing if the attempt is not waiting.
    std::optional<QueueEntry> cancel(const std::string &attemptId);

    /// @brief Marks a waiting entry as suspected of crashing targets, so that it runs alone.
    void markSuspect(const std::string &attemptId);

    /// @brief Marks @p model as resident, so that its entries may start.
    void setModelReady(const std::string &model);

    /// @brief Marks @p model as loading and refuses entries that cannot wait until @p expectedReady.
    std::vector<RefusedEntry> setModelLoading(const std::string &model, TimePoint expectedReady, TimePoint now);

    /// @brief Marks @p model as neither resident nor loading. Its entries wait for a load.
    void setModelAbsent(const std::string &model);

    /// @brief Refuses all waiting entries of @p model, e.g. with LoadFailed.
    std::vector<RefusedEntry> refuseModel(const std::string &model, ResultCode code, TimePoint now);

    /// @brief Refuses all waiting entries, e.g. with Stopping.
    std::vector<RefusedEntry> refuseAll(ResultCode code, TimePoint now);

    /// @brief Models to load for waiting entries, ordered by urgency, then by the latest time at which an entry
    /// can start and still meet its deadline.
    std::vector<ModelDemand> modelDemands() const;

    /// @brief Estimated time until a new @p entry would start.
    Duration estimatedWait(const QueueEntry &entry, TimePoint now) const;

    /// @brief Earliest time at which expire() may refuse an entry. Empty if nothing waits.
    std::optional<TimePoint> nextExpiry() const;

    std::size_t running() const
    {
        return m_running.size();
    }
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    std::size_t waitingBytes() const
    {
        return m_bytes;
    }
    std::uint64_t waitingTokens() const
    {
        return m_tokens;
    }

private:
    using LatestStartKey = std::pair<TimePoint, std::uint64_t>;

    void insert(QueueEntry entry);
    QueueEntry remove(std::uint64_t sequence);
    RefusedEntry refuse(std::uint64_t sequence, ResultCode code, TimePoint now);
    std::vector<RefusedEntry> refuseEach(const std::vector<std::uint64_t> &sequences, ResultCode code, TimePoint now);
    void setModelPhase(const std::string &model, ModelWaitIndex::Phase phase, TimePoint expectedReady);
    std::optional<std::size_t> nextClass() const;
    bool hasEarnedShare(std::size_t index) const;
    void chargeClass(std::size_t served, std::uint64_t tokens);

    QueueLimits m_limits;
    std::uint64_t m_nextSequence = 1;
    absl::node_hash_map<std::uint64_t, QueueEntry> m_waiting;
    absl::flat_hash_map<std::string, std::uint64_t> m_sequences;
    std::array<ClassQueue, AllUrgencies.size()> m_classes;
    /// Tokens that each class may start ahead of more urgent classes. While entries of a class wait, it accrues
    /// its guaranteed share of the tokens that more urgent classes start.
    std::array<double, AllUrgencies.size()> m_shareCredits{};
    std::set<LatestStartKey> m_byLatestStart;
    ModelWaitIndex m_models;
    RunningSet m_running;
    BacklogIndex m_backlog;
    std::size_t m_bytes = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace celeryroute
