#pragma once

#include <celeryroute/detail/platform/logevent.h>
#include <celeryroute/detail/state/followeraction.h>
#include <celeryroute/detail/state/freshnessrule.h>
#include <celeryroute/detail/state/pendingrecords.h>
#include <celeryroute/detail/state/recordring.h>
#include <celeryroute/detail/state/snapshotassembler.h>
#include <celeryroute/detail/state/snapshotschedule.h>
#include <celeryroute/detail/state/statestore.h>

#include <peer.pb.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// What a follower is told once.
struct FollowerSettings {
    std::string incarnation;
    std::uint32_t readRecords = 500; ///< Most records of one read.
    std::uint32_t readWaitMs = 1000; ///< How long the log waits for a new record.
    Duration retryDelay = std::chrono::milliseconds(250); ///< Between reads of a log that fails.
    Duration peerQueryInterval = std::chrono::milliseconds(500);
    Duration lagBeforeQuery = std::chrono::seconds(1); ///< Time to catch up by the log before a peer is asked.
    SnapshotPolicy snapshots;
    FreshnessBounds freshness;
};

/// @brief Keeps the state of this process at the head of the log.
///
/// Decides what to read, append and ask; the control thread carries the actions out and brings the
/// results back. Never steps back to an older state.
class StateFollower
{
public:
    /// @brief @p store outlives the follower.
    StateFollower(FollowerSettings settings, StateStore &store, TimePoint now);

    void handle(const LogReadDone &event, TimePoint now);
    void handle(const LogAppendDone &event, TimePoint now);
    void handle(const proto::StateReply &reply, TimePoint now);
    /// @brief @p peer has folded all records before @p offset; from any of its messages.
    void setPeerOffset(const std::string &peer, std::uint64_t offset, TimePoint now);
    void forgetPeer(const std::string &peer);
    /// @brief Number of processes in the fleet, for the spacing of snapshots.
    void setFleetSize(std::size_t processes);

    /// @brief Has @p record appended; its end comes out of takeVerdicts().
    void submit(const proto::LogRecord &record);
    /// @brief What to do now; call it after every event and at least every 250 ms.
    std::vector<FollowerAction> step(TimePoint now);
    std::vector<RecordVerdict> takeVerdicts();
    /// @brief The answer to a peer's @p query.
    proto::StateReply answer(const proto::StateQuery &query) const;

    /// @brief Whether there is a state to serve from.
    bool isReady() const;
    bool isLogReachable() const;
    /// @brief Where heartbeats and the host list are reported.
    FreshnessRule &freshness();
    const FleetState &state() const;

private:
    void readBatch(const LogReadDone &event, const LogBatch &batch, TimePoint now);
    void scan(const LogBatch &batch, TimePoint now);
    void foldRecord(proto::LogRecord record, std::uint64_t offset, TimePoint now);
    bool adopt(FleetState state);
    void noteSnapshot(const proto::LogRecord &record, TimePoint now);
    void updateFreshness(TimePoint now);
    void publish();
    std::optional<ReadLog> nextRead(TimePoint now);
    std::optional<QueryPeer> nextQuery(TimePoint now);
    void submitSnapshotIfDue(TimePoint now);
    std::uint64_t farthestPeer() const;

    FollowerSettings m_settings;
    StateStore &m_store;
    FleetState m_state;
    RecordRing m_ring;
    PendingRecords m_pending;
    SnapshotAssembler m_assembler;
    SnapshotSchedule m_schedule;
    FreshnessRule m_freshness;
    std::map<std::string, std::uint64_t> m_peerOffsets;
    std::size_t m_fleetSize = 1;
    /// Next offset to read in search of a snapshot, when the log has forgotten what follows the state.
    std::optional<std::uint64_t> m_scanFrom;
    bool m_reading = false;
    bool m_ready = false;
    bool m_logReachable = false;
    TimePoint m_nextReadAt;
    TimePoint m_nextQueryAt;
    TimePoint m_behindSince = TimePoint::max();
};

} // namespace celeryroute
