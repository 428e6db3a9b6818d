#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/recordfolds.h>
#include <celeryroute/detail/state/recordformat.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {
bool isRecent(const StateTables &tables, const std::string &id)
{
    const Revision *revision = tables.recentIds.find(id);
    return revision != nullptr && *revision + RecentIdWindow > tables.nextOffset;
}

// Removes expired ids only from the shard to which the new id is added. Expired ids in other shards have no
// effect, since isRecent() ignores them.
void rememberId(StateTables &tables, const std::string &id, Revision revision)
{
    auto &shard = tables.recentIds.shardForEdit(id);
    for (auto entry = shard.begin(); entry != shard.end();) {
        const bool expired = entry->second + RecentIdWindow < revision;
        entry = expired ? shard.erase(entry) : std::next(entry);
    }
    shard.insert_or_assign(id, revision);
}

Refusals foldBody(StateTables &tables, const proto::LogRecord &record, std::uint64_t offset)
{
    const Revision revision = revisionAt(offset);
    switch (record.body_case()) {
    case proto::LogRecord::kDeclarationChange:
        return foldDeclarationChange(tables, record.declaration_change(), revision);
    case proto::LogRecord::kKeyGrant:
        return foldKeyGrant(tables, record.key_grant(), revision);
    case proto::LogRecord::kKeyWithdrawal:
        return foldKeyWithdrawal(tables, record.key_withdrawal(), revision);
    case proto::LogRecord::kHostDrain:
        return foldHostDrain(tables, record.host_drain(), revision);
    case proto::LogRecord::kAuthorityChange:
        return foldAuthorityChange(tables, record.authority_change(), revision);
    case proto::LogRecord::kShareDivision:
        return foldShareDivision(tables, record.share_division(), revision);
    case proto::LogRecord::kQuarantine:
        return foldQuarantine(tables, record.quarantine(), revision);
    case proto::LogRecord::kClaimBatch:
        foldClaims(tables, record.claim_batch(), offset);
        return {};
    default:
        return {};
    }
}

FoldStatus statusOf(const proto::LogRecord &record, const Refusals &refusals)
{
    if (refusals.empty()) {
        return FoldStatus::Accepted;
    }
    const bool judgedEach = record.has_authority_change();
    const auto items = static_cast<std::size_t>(record.authority_change().items_size());
    return judgedEach && refusals.size() < items ? FoldStatus::PartlyAccepted : FoldStatus::Refused;
}

bool isMalformed(const proto::LogRecord &record)
{
    return record.id().empty() || record.id().size() > MaxRecordIdLength
        || record.body_case() == proto::LogRecord::BODY_NOT_SET;
}

FoldResult unchanged(StateTables tables, FoldStatus status)
{
    return {FleetState(std::move(tables)), status, {}};
}

FoldResult skipped(StateTables tables, FoldStatus status)
{
    ++tables.nextOffset;
    return unchanged(std::move(tables), status);
}
} // namespace

std::string toString(FoldStatus status)
{
    switch (status) {
    case FoldStatus::Accepted:
        return "accepted";
    case FoldStatus::PartlyAccepted:
        return "partly accepted";
    case FoldStatus::Refused:
        return "refused";
    case FoldStatus::Repeated:
        return "repeated";
    case FoldStatus::Malformed:
        return "malformed";
    case FoldStatus::Ignored:
        return "ignored";
    case FoldStatus::OutOfOrder:
        return "out of order";
    case FoldStatus::Incompatible:
        return "incompatible";
    }
    return "unknown";
}

// The id of a refused record is remembered as well: its author was told that it had no effect, so a second
// append must not take effect on a later state.
FoldResult fold(FleetState state, const proto::LogRecord &record, std::uint64_t offset)
{
    StateTables tables = std::move(state).takeTables();
    const bool stopped = tables.refusedFormat > NewestKnownFormat;
    if (stopped || (offset == tables.nextOffset && record.format() > NewestKnownFormat)) {
        tables.refusedFormat = std::max(tables.refusedFormat, record.format());
        return unchanged(std::move(tables), FoldStatus::Incompatible);
    }
    if (offset != tables.nextOffset) {
        return unchanged(std::move(tables), FoldStatus::OutOfOrder);
    }
    if (isMalformed(record)) {
        return skipped(std::move(tables), FoldStatus::Malformed);
    }
    if (record.has_snapshot()) {
        return skipped(std::move(tables), FoldStatus::Ignored);
    }
    if (isRecent(tables, record.id())) {
        return skipped(std::move(tables), FoldStatus::Repeated);
    }
    Refusals refusals = foldBody(tables, record, offset);
    rememberId(tables, record.id(), revisionAt(offset));
    tables.nextOffset = offset + 1;
    tables.newestFormat = std::max(tables.newestFormat, record.format());
    const FoldStatus status = statusOf(record, refusals);
    return {FleetState(std::move(tables)), status, std::move(refusals)};
}

FoldResult foldBytes(FleetState state, const std::string &bytes, std::uint64_t offset)
{
    proto::LogRecord record;
    if (!record.ParseFromString(bytes)) {
        record.Clear();
    }
    return fold(std::move(state), record, offset);
}

bool hasRecentRecord(const FleetState &state, const std::string &id)
{
    return isRecent(state.tables(), id);
}

} // namespace celeryroute
