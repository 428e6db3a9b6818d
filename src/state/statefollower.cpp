#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/newrecord.h>
#include <celeryroute/detail/state/recordformat.h>
#include <celeryroute/detail/state/snapshot.h>
#include <celeryroute/detail/state/statefollower.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {
constexpr std::size_t MaxReplyBytes = std::size_t{512} * 1024;

proto::LogRecord parseRecord(const std::string &bytes)
{
    proto::LogRecord record;
    if (!record.ParseFromString(bytes)) {
        record.Clear();
    }
    return record;
}
} // namespace

StateFollower::StateFollower(FollowerSettings settings, StateStore &store, TimePoint now)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_schedule(m_settings.incarnation, m_settings.snapshots, now)
    , m_freshness(m_settings.freshness)
    , m_nextReadAt(now)
    , m_nextQueryAt(now)
{}

void StateFollower::handle(const LogReadDone &event, TimePoint now)
{
    m_reading = false;
    m_logReachable = !std::holds_alternative<LogUnreachable>(event.outcome);
    if (const auto *batch = std::get_if<LogBatch>(&event.outcome)) {
        applyBatch(event, *batch, now);
    } else if (const auto *forgotten = std::get_if<LogForgotten>(&event.outcome)) {
        m_scanFrom = forgotten->first;
    } else {
        m_nextReadAt = now + m_settings.retryDelay;
    }
    updateFreshness(now);
}

void StateFollower::applyBatch(const LogReadDone &event, const LogBatch &batch, TimePoint now)
{
    if (m_scanFrom) {
        scanForSnapshot(batch, now);
        return;
    }
    std::uint64_t offset = batch.next - batch.records.size();
    for (const std::string &bytes : batch.records) {
        foldRecord(parseRecord(bytes), offset++, now);
    }
    publish();
    const bool atEnd = batch.records.size() < event.read.maxRecords && m_state.nextOffset() >= batch.next;
    if (atEnd && !m_state.isIncompatible()) {
        m_ready = true;
        m_freshness.recordLogRead(event.startedAt);
        m_pending.handleLogReadToEnd(m_state.nextOffset(), event.startedAt);
    }
}

// Called while the next record of this process is no longer in the log. Reads the retained records only for
// snapshots, and adopts the first complete one whose subsequent records are all retained; later reads fold these
// records. The scan also ends if a peer's answer advances the state.
void StateFollower::scanForSnapshot(const LogBatch &batch, TimePoint now)
{
    m_scanFrom = std::max(*m_scanFrom, batch.next);
    for (const std::string &bytes : batch.records) {
        const proto::LogRecord record = parseRecord(bytes);
        if (!record.has_snapshot() || record.format() > NewestKnownFormat) {
            continue;
        }
        recordSnapshot(record, now);
        std::optional<FleetState> state = m_assembler.add(record.snapshot());
        if (state && state->nextOffset() >= batch.first && replaceState(std::move(*state))) {
            return;
        }
    }
    if (batch.records.empty()) {
        m_nextReadAt = now + m_settings.retryDelay;
    }
}

void StateFollower::foldRecord(proto::LogRecord record, std::uint64_t offset, TimePoint now)
{
    if (offset != m_state.nextOffset()) {
        return;
    }
    FoldResult result = fold(std::move(m_state), record, offset);
    m_state = std::move(result.state);
    if (result.status == FoldStatus::Incompatible) {
        return;
    }
    m_pending.handleFolded(record.id(), offset, result.status, result.refusals);
    recordSnapshot(record, now);
    m_ring.add(offset, std::move(record));
}

void StateFollower::recordSnapshot(const proto::LogRecord &record, TimePoint now)
{
    if (record.has_snapshot() && record.snapshot().part() + 1 == record.snapshot().parts()) {
        m_schedule.recordSnapshot(record.snapshot().next_offset(), now);
    }
}

bool StateFollower::replaceState(FleetState state)
{
    if (state.nextOffset() <= m_state.nextOffset() || m_state.isIncompatible()) {
        return false;
    }
    m_state = std::move(state);
    m_scanFrom.reset();
    m_ready = true;
    m_pending.handleStateReplaced(m_state);
    publish();
    return true;
}

void StateFollower::handle(const LogAppendDone &event, TimePoint now)
{
    m_pending.handleAppendOutcome(event.recordId, event.outcome, now);
}

void StateFollower::handle(const proto::StateReply &reply, TimePoint now)
{
    if (reply.has_snapshot()) {
        std::optional<FleetState> state = SnapshotAssembler().add(reply.snapshot());
        if (state) {
            replaceState(std::move(*state));
        }
    }
    const std::uint64_t before = m_state.nextOffset();
    std::uint64_t offset = reply.first_offset();
    for (const proto::LogRecord &record : reply.records()) {
        foldRecord(record, offset++, now);
    }
    if (m_state.nextOffset() != before) {
        m_ready = true;
        m_scanFrom.reset();
        publish();
    }
    // The next query may be sent at once, since the peer may have more records than fit into one reply.
    m_nextQueryAt = now;
    updateFreshness(now);
}

void StateFollower::setPeerOffset(const std::string &peer, std::uint64_t offset, TimePoint now)
{
    std::uint64_t &known = m_peerOffsets[peer];
    known = std::max(known, offset);
    updateFreshness(now);
}

void StateFollower::removePeer(const std::string &peer)
{
    m_peerOffsets.erase(peer);
}

void StateFollower::setFleetSize(std::size_t processes)
{
    m_fleetSize = processes;
}

void StateFollower::submit(const proto::LogRecord &record)
{
    m_pending.add(record, m_state.nextOffset());
}

std::vector<FollowerAction> StateFollower::step(TimePoint now)
{
    updateFreshness(now);
    submitSnapshotIfDue(now);
    std::vector<FollowerAction> actions;
    if (const std::optional<ReadLog> read = nextRead(now)) {
        actions.emplace_back(*read);
    }
    if (const std::optional<QueryPeer> query = nextQuery(now)) {
        actions.emplace_back(*query);
    }
    for (PendingRecords::Append &append : m_pending.takeAppends()) {
        actions.emplace_back(AppendToLog{std::move(append.recordId), std::move(append.bytes)});
    }
    return actions;
}

std::optional<ReadLog> StateFollower::nextRead(TimePoint now)
{
    if (m_reading || now < m_nextReadAt || m_state.isIncompatible()) {
        return std::nullopt;
    }
    m_reading = true;
    const std::uint64_t from = m_scanFrom.value_or(m_state.nextOffset());
    return ReadLog{{from, m_settings.maxRecordsPerRead, m_settings.readWaitMs}};
}

std::optional<QueryPeer> StateFollower::nextQuery(TimePoint now)
{
    const bool patient = m_logReachable && !m_scanFrom && now - m_behindSince < m_settings.lagBeforeQuery;
    if (m_behindSince == TimePoint::max() || patient || now < m_nextQueryAt || m_state.isIncompatible()) {
        return std::nullopt;
    }
    const auto farthest = std::max_element(m_peerOffsets.begin(),
                                           m_peerOffsets.end(),
                                           [](const auto &a, const auto &b) { return a.second < b.second; });
    m_nextQueryAt = now + m_settings.peerQueryInterval;
    return QueryPeer{farthest->first, m_state.nextOffset()};
}

void StateFollower::submitSnapshotIfDue(TimePoint now)
{
    if (!m_ready || !m_logReachable || !m_schedule.isDue(m_state.nextOffset(), m_fleetSize, now)) {
        return;
    }
    const std::string snapshotId = randomId();
    for (proto::StateSnapshot &part : toSnapshot(m_state, snapshotId)) {
        proto::LogRecord record = newRecord(m_settings.incarnation, WallTime());
        record.set_format(std::max(record.format(), m_state.tables().newestFormat));
        *record.mutable_snapshot() = std::move(part);
        submit(record);
    }
}

std::vector<RecordResult> StateFollower::takeResults()
{
    return m_pending.takeResults();
}

proto::StateReply StateFollower::answer(const proto::StateQuery &query) const
{
    proto::StateReply reply;
    reply.set_next_offset(m_state.nextOffset());
    reply.set_log_reachable(m_logReachable);
    if (!m_ready || query.from_offset() >= m_state.nextOffset()) {
        return reply;
    }
    const std::optional<std::vector<proto::LogRecord>> records = m_ring.recordsFrom(query.from_offset(), MaxReplyBytes);
    if (!records) {
        *reply.mutable_snapshot() = toWholeSnapshot(m_state);
        return reply;
    }
    reply.set_first_offset(query.from_offset());
    for (const proto::LogRecord &record : *records) {
        *reply.add_records() = record;
    }
    return reply;
}

bool StateFollower::isReady() const
{
    return m_ready;
}

bool StateFollower::isLogReachable() const
{
    return m_logReachable;
}

FreshnessTracker &StateFollower::freshness()
{
    return m_freshness;
}

const FleetState &StateFollower::state() const
{
    return m_state;
}

std::uint64_t StateFollower::highestPeerOffset() const
{
    std::uint64_t farthest = 0;
    for (const auto &[peer, offset] : m_peerOffsets) {
        farthest = std::max(farthest, offset);
    }
    return farthest;
}

// A state in front of an incompatible record is never fresh again, because this program version can fold
// neither that record nor any later one.
void StateFollower::updateFreshness(TimePoint now)
{
    const std::uint64_t farthest = highestPeerOffset();
    m_freshness.setOffsets(m_state.nextOffset(), farthest, now);
    const bool behind = m_state.nextOffset() < farthest;
    m_behindSince = behind ? std::min(m_behindSince, now) : TimePoint::max();
    const bool usable = m_ready && !m_state.isIncompatible();
    m_store.setFreshUntil(usable ? m_freshness.freshUntil() : TimePoint::min());
}

void StateFollower::publish()
{
    m_store.publish(m_state);
}

} // namespace celeryroute
