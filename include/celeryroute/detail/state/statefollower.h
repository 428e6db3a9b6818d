#pragma once

#include <celeryroute/detail/platform/logevent.h>
#include <celeryroute/detail/state/followeraction.h>
#include <celeryroute/detail/state/freshnesstracker.h>
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

/// Fixed settings of a StateFollower.
struct FollowerSettings {
    std::string incarnation;
    std::uint32_t maxRecordsPerRead = 500; ///< Maximum number of records per read.
    std::uint32_t readWaitMs = 1000; ///< Time that the log waits for a new record (long poll).
    Duration retryDelay = std::chrono::milliseconds(250); ///< Delay after a failed read.
    Duration peerQueryInterval = std::chrono::milliseconds(500);
    Duration lagBeforeQuery = std::chrono::seconds(1); ///< Time to catch up from the log before a peer is queried.
    SnapshotPolicy snapshots;
    FreshnessLimits freshness;
};

/// @brief Keeps the state of this process up to date with the log.
///
/// Decides what to read, append and query; the control thread executes these actions and passes the
/// results back. Never returns to an older state.
class StateFollower
{
public:
    /// @brief @p store must outlive the follower.
    StateFollower(FollowerSettings settings, StateStore &store, TimePoint now);

    void handle(const LogReadDone &event, TimePoint now);
    void handle(const LogAppendDone &event, TimePoint now);
    void handle(const proto::StateReply &reply, TimePoint now);
    /// @brief Records that @p peer has folded all records before @p offset, as stated in any of its messages.
    void setPeerOffset(const std::string &peer, std::uint64_t offset, TimePoint now);
    void removePeer(const std::string &peer);
    /// @brief Sets the number of processes in the fleet, by which the delay before a snapshot is scaled.
    void setFleetSize(std::size_t processes);

    /// @brief Queues @p record to be appended; takeResults() returns its result.
    void submit(const proto::LogRecord &record);
    /// @brief Returns the actions to execute now; call it after every event and at least every 250 ms.
    std::vector<FollowerAction> step(TimePoint now);
    std::vector<RecordResult> takeResults();
    /// @brief Builds the reply to the @p query of a peer.
    proto::StateReply answer(const proto::StateQuery &query) const;

    /// @brief Whether this process has a state and can serve requests.
    bool isReady() const;
    bool isLogReachable() const;
    /// @brief The freshness tracker, to which heartbeats and live domains are reported.
    FreshnessTracker &freshness();
    const FleetState &state() const;

private:
    void applyBatch(const LogReadDone &event, const LogBatch &batch, TimePoint now);
    void scanForSnapshot(const LogBatch &batch, TimePoint now);
    void foldRecord(proto::LogRecord record, std::uint64_t offset, TimePoint now);
    bool replaceState(FleetState state);
    void recordSnapshot(const proto::LogRecord &record, TimePoint now);
    void updateFreshness(TimePoint now);
    void publish();
    std::optional<ReadLog> nextRead(TimePoint now);
    std::optional<QueryPeer> nextQuery(TimePoint now);
    void submitSnapshotIfDue(TimePoint now);
    std::uint64_t highestPeerOffset() const;

    FollowerSettings m_settings;
    StateStore &m_store;
    FleetState m_state;
    RecordRing m_ring;
    PendingRecords m_pending;
    SnapshotAssembler m_assembler;
    SnapshotSchedule m_schedule;
    FreshnessTracker m_freshness;
    std::map<std::string, std::uint64_t> m_peerOffsets;
    std::size_t m_fleetSize = 1;
    /// Next offset to scan for a snapshot; set when the log no longer has the records that follow the state.
    std::optional<std::uint64_t> m_scanFrom;
    bool m_reading = false;
    bool m_ready = false;
    bool m_logReachable = false;
    TimePoint m_nextReadAt;
    TimePoint m_nextQueryAt;
    TimePoint m_behindSince = TimePoint::max();
};

} // namespace celeryroute
