#include <celeryroute/detail/state/pendingrecords.h>

#include <utility>

namespace celeryroute {

namespace {
// A record is appended again only while at most this many log offsets have been folded since its submission. Its id
// is then still remembered wherever in the log an earlier attempt arrived, so a second append has no effect. The
// other half of RecentIdWindow is a safety margin.
constexpr std::uint64_t ReappendWindow = RecentIdWindow / 2;

RecordStatus statusOf(FoldStatus status)
{
    switch (status) {
    case FoldStatus::Accepted:
    case FoldStatus::Ignored:
        return RecordStatus::Accepted;
    case FoldStatus::PartlyAccepted:
        return RecordStatus::PartlyAccepted;
    case FoldStatus::Repeated:
        return RecordStatus::Recorded;
    default:
        return RecordStatus::Refused;
    }
}
} // namespace

void PendingRecords::add(const proto::LogRecord &record, std::uint64_t nextOffset)
{
    Pending pending;
    pending.bytes = record.SerializeAsString();
    pending.submittedAt = nextOffset;
    if (m_pending.emplace(record.id(), std::move(pending)).second) {
        m_queue.push_back(record.id());
    }
}

std::vector<PendingRecords::Append> PendingRecords::takeAppends()
{
    std::vector<Append> appends;
    for (const std::string &id : std::exchange(m_queue, {})) {
        const auto found = m_pending.find(id);
        if (found != m_pending.end()) {
            found->second.phase = Phase::Sent;
            appends.push_back({id, found->second.bytes});
        }
    }
    return appends;
}

// If the response to the first attempt was lost, the record stays in doubt even if a second attempt fails: the
// first one may still arrive in the log.
void PendingRecords::handleAppendOutcome(const std::string &recordId, const AppendOutcome &outcome, TimePoint now)
{
    const auto found = m_pending.find(recordId);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    pending.endedAt = now;
    if (std::holds_alternative<Appended>(outcome)) {
        pending.phase = Phase::Appended;
        return;
    }
    const auto *refused = std::get_if<NotAppended>(&outcome);
    pending.lastError = refused != nullptr ? refused->error : std::get<AppendInDoubt>(outcome).error;
    if (refused != nullptr && !pending.wasInDoubt) {
        const Error error = pending.lastError;
        settle(recordId, {recordId, RecordStatus::NotAppended, 0, {}, error});
        return;
    }
    pending.phase = Phase::InDoubt;
    pending.wasInDoubt = true;
}

void PendingRecords::handleFolded(const std::string &recordId,
                                  std::uint64_t offset,
                                  FoldStatus status,
                                  const Refusals &refusals)
{
    if (m_pending.count(recordId) != 0) {
        settle(recordId, {recordId, statusOf(status), offset, refusals, {}});
    }
}

void PendingRecords::handleStateReplaced(const FleetState &state)
{
    std::vector<std::string> recorded;
    for (const auto &[id, pending] : m_pending) {
        if (hasRecentRecord(state, id)) {
            recorded.push_back(id);
        }
    }
    for (const std::string &id : recorded) {
        settle(id, {id, RecordStatus::Recorded, 0, {}, {}});
    }
}

void PendingRecords::handleLogReadToEnd(std::uint64_t nextOffset, TimePoint readStartedAt)
{
    std::vector<std::string> lost;
    for (auto &[id, pending] : m_pending) {
        const bool missing = pending.phase == Phase::InDoubt || pending.phase == Phase::Appended;
        if (!missing || readStartedAt < pending.endedAt + SettleDelay) {
            continue;
        }
        if (nextOffset - pending.submittedAt > ReappendWindow) {
            lost.push_back(id);
        } else if (pending.phase == Phase::InDoubt) {
            pending.phase = Phase::Queued;
            m_queue.push_back(id);
        }
    }
    for (const std::string &id : lost) {
        settle(id, {id, RecordStatus::Unsettled, 0, {}, {ResultCode::LogAppendInDoubt, "the record was not found"}});
    }
}

std::vector<RecordResult> PendingRecords::takeResults()
{
    return std::exchange(m_results, {});
}

std::size_t PendingRecords::size() const
{
    return m_pending.size();
}

void PendingRecords::settle(const std::string &recordId, RecordResult result)
{
    m_results.push_back(std::move(result));
    m_pending.erase(recordId);
}

} // namespace celeryroute
