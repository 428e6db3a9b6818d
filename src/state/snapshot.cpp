#include <celeryroute/detail/claims/claimsnapshot.h>
#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/recordformat.h>
#include <celeryroute/detail/state/snapshot.h>
#include <celeryroute/detail/state/specconversion.h>

#include <absl/strings/str_cat.h>

#include <set>
#include <utility>

namespace celeryroute {

namespace {
using Items = std::vector<proto::SnapshotItem>;

proto::SnapshotItem &add(Items &items, Revision revision)
{
    proto::SnapshotItem &item = items.emplace_back();
    item.set_revision(revision);
    return item;
}

void addDeclarations(const FleetState &state, Items &items)
{
    for (const auto &[name, route] : state.routes()) {
        *add(items, route.revision).mutable_route() = toProto(route.value);
    }
    for (const auto &[name, pool] : state.pools()) {
        *add(items, pool.revision).mutable_pool() = toProto(pool.value);
    }
    for (const auto &[name, customer] : state.customers()) {
        *add(items, customer.revision).mutable_customer() = toProto(customer.value);
    }
}

void addKeys(const StateTables &tables, Items &items)
{
    for (const std::string &digest : tables.keys.sortedKeys()) {
        const Versioned<KeyEntry> &key = *tables.keys.find(digest);
        proto::KeyState &message = *add(items, key.revision).mutable_key();
        message.set_key_digest(digest);
        message.set_customer(key.value.customer);
        message.set_label(key.value.label);
        message.set_withdrawn(key.value.withdrawn);
    }
}

void addAuthorities(const StateTables &tables, Items &items)
{
    for (const std::string &key : tables.authorities.sortedKeys()) {
        const Authority &authority = *tables.authorities.find(key);
        proto::AuthorityState &message = *add(items, authority.revision).mutable_authority();
        message.set_pool(authority.pool);
        message.set_model(authority.model);
        for (const AuthorityHolder &holder : authority.holders) {
            proto::AuthorityHolder &entry = *message.add_holders();
            entry.set_host(holder.host);
            entry.set_incarnation(holder.incarnation);
            entry.set_fencing(holder.fencing);
            entry.set_revoked(holder.revoked);
        }
    }
}

void addShares(const StateTables &tables, Items &items)
{
    if (tables.shares->epoch == 0) {
        return;
    }
    proto::ShareDivision &division = *add(items, tables.shares->epoch).mutable_shares();
    division.set_base_epoch(tables.shares->baseEpoch);
    for (const auto &[incarnation, fraction] : tables.shares->fractions) {
        proto::EntryShare &share = *division.add_shares();
        share.set_incarnation(incarnation);
        share.set_fraction(fraction);
    }
}

void addSwitches(const StateTables &tables, Items &items)
{
    for (const std::string &host : tables.drains.sortedKeys()) {
        proto::HostDrain &drain = *add(items, tables.drains.find(host)->revision).mutable_host_drain();
        drain.set_host(host);
        drain.set_draining(true);
    }
    for (const std::string &digest : tables.quarantines.sortedKeys()) {
        proto::Quarantine &quarantine = *add(items, tables.quarantines.find(digest)->revision).mutable_quarantine();
        quarantine.set_request_digest(digest);
    }
}

void addClaims(const FleetState &state, Items &items)
{
    for (proto::ClaimState &claim : toClaimStates(state.claims())) {
        *add(items, 0).mutable_claim() = std::move(claim);
    }
}

void addRecentIds(const FleetState &state, Items &items)
{
    for (const std::string &id : state.tables().recentIds.sortedKeys()) {
        if (hasRecentRecord(state, id)) {
            add(items, *state.tables().recentIds.find(id)).set_record_id(id);
        }
    }
}

Items allItems(const FleetState &state)
{
    Items items;
    addDeclarations(state, items);
    addKeys(state.tables(), items);
    addAuthorities(state.tables(), items);
    addShares(state.tables(), items);
    addSwitches(state.tables(), items);
    addClaims(state, items);
    addRecentIds(state, items);
    return items;
}

Authority authorityFrom(const proto::AuthorityState &message, Revision revision)
{
    Authority authority{message.pool(), message.model(), revision, {}};
    for (const proto::AuthorityHolder &holder : message.holders()) {
        authority.holders.push_back({holder.host(), holder.incarnation(), holder.fencing(), holder.revoked()});
    }
    return authority;
}

Shares sharesFrom(const proto::ShareDivision &division, Revision epoch)
{
    Shares shares;
    shares.epoch = epoch;
    shares.baseEpoch = division.base_epoch();
    for (const proto::EntryShare &share : division.shares()) {
        shares.fractions[share.incarnation()] = share.fraction();
    }
    return shares;
}

// Returns false for an item that this program version does not know.
bool restoreItem(StateTables &tables, const proto::SnapshotItem &item)
{
    const Revision revision = item.revision();
    switch (item.item_case()) {
    case proto::SnapshotItem::kRoute:
        tables.routes.edit()[item.route().name()] = {fromProto(item.route()), revision};
        return true;
    case proto::SnapshotItem::kPool:
        tables.pools.edit()[item.pool().name()] = {fromProto(item.pool()), revision};
        return true;
    case proto::SnapshotItem::kCustomer:
        tables.customers.edit()[item.customer().name()] = {fromProto(item.customer()), revision};
        return true;
    case proto::SnapshotItem::kKey: {
        const proto::KeyState &key = item.key();
        tables.keys.insertOrAssign(key.key_digest(), {{key.customer(), key.label(), key.withdrawn()}, revision});
        return true;
    }
    case proto::SnapshotItem::kHostDrain:
        tables.drains.insertOrAssign(item.host_drain().host(), {item.host_drain().draining(), revision});
        return true;
    case proto::SnapshotItem::kAuthority: {
        const std::string key = authorityKey(item.authority().pool(), item.authority().model());
        tables.authorities.insertOrAssign(key, authorityFrom(item.authority(), revision));
        return true;
    }
    case proto::SnapshotItem::kShares:
        tables.shares.edit() = sharesFrom(item.shares(), revision);
        return true;
    case proto::SnapshotItem::kQuarantine:
        tables.quarantines.insertOrAssign(item.quarantine().request_digest(), {true, revision});
        return true;
    case proto::SnapshotItem::kClaim: {
        ClaimTable &claims = tables.claims.edit();
        claims = restoreClaim(std::move(claims), item.claim());
        return true;
    }
    case proto::SnapshotItem::kRecordId:
        tables.recentIds.insertOrAssign(item.record_id(), revision);
        return true;
    default:
        return false;
    }
}

bool belongTogether(const std::vector<proto::StateSnapshot> &parts)
{
    std::set<std::uint32_t> numbers;
    for (const proto::StateSnapshot &part : parts) {
        const bool sameSnapshot = part.snapshot_id() == parts.front().snapshot_id() && part.parts() == parts.size()
            && part.next_offset() == parts.front().next_offset();
        if (!sameSnapshot || part.part() >= part.parts() || !numbers.insert(part.part()).second) {
            return false;
        }
    }
    return !parts.empty();
}
} // namespace

std::vector<proto::StateSnapshot> toSnapshot(const FleetState &state, const std::string &snapshotId)
{
    std::vector<proto::StateSnapshot> parts(1);
    std::size_t partBytes = 0;
    for (proto::SnapshotItem &item : allItems(state)) {
        const std::size_t itemBytes = item.ByteSizeLong();
        if (partBytes != 0 && partBytes + itemBytes > SnapshotPartBytes) {
            parts.emplace_back();
            partBytes = 0;
        }
        partBytes += itemBytes;
        *parts.back().add_items() = std::move(item);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].set_next_offset(state.nextOffset());
        parts[i].set_snapshot_id(snapshotId);
        parts[i].set_format(state.tables().newestFormat);
        parts[i].set_part(static_cast<std::uint32_t>(i));
        parts[i].set_parts(static_cast<std::uint32_t>(parts.size()));
    }
    return parts;
}

proto::StateSnapshot toWholeSnapshot(const FleetState &state)
{
    proto::StateSnapshot snapshot;
    snapshot.set_next_offset(state.nextOffset());
    snapshot.set_parts(1);
    snapshot.set_format(state.tables().newestFormat);
    for (proto::SnapshotItem &item : allItems(state)) {
        *snapshot.add_items() = std::move(item);
    }
    return snapshot;
}

Result<FleetState> fromSnapshot(const std::vector<proto::StateSnapshot> &parts)
{
    if (!belongTogether(parts)) {
        return fail(ResultCode::RecordMalformed, "the parts of a snapshot do not belong together");
    }
    if (parts.front().format() > NewestKnownFormat) {
        return fail(ResultCode::RecordNewerFormat, "the snapshot was written by a newer program");
    }
    StateTables tables;
    tables.newestFormat = parts.front().format();
    tables.nextOffset = parts.front().next_offset();
    for (const proto::StateSnapshot &part : parts) {
        for (const proto::SnapshotItem &item : part.items()) {
            if (!restoreItem(tables, item)) {
                return fail(ResultCode::RecordMalformed,
                            absl::StrCat("part ", part.part(), " of a snapshot holds an unknown item"));
            }
        }
    }
    return FleetState(std::move(tables));
}

} // namespace celeryroute
