#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/detail/state/recordformat.h>

#include <utility>

namespace celeryroute {

namespace {
template <typename Table>
const typename Table::mapped_type *findIn(const Table &table, const std::string &name)
{
    const auto found = table.find(name);
    return found == table.end() ? nullptr : &found->second;
}
} // namespace

std::string toString(PoolKind kind)
{
    return kind == PoolKind::Engine ? "engine" : "service";
}

// Pool names contain no slash, so the key is unique for each pair.
std::string authorityKey(const std::string &pool, const std::string &model)
{
    return pool + "/" + model;
}

const AuthorityHolder *holderOn(const Authority &authority, const std::string &host)
{
    for (const AuthorityHolder &holder : authority.holders) {
        if (holder.host == host) {
            return &holder;
        }
    }
    return nullptr;
}

FleetState::FleetState(StateTables tables)
    : m_tables(std::move(tables))
{}

std::uint64_t FleetState::nextOffset() const
{
    return m_tables.nextOffset;
}

bool FleetState::isIncompatible() const
{
    return m_tables.refusedFormat > NewestKnownFormat;
}

const Versioned<RouteSpec> *FleetState::route(const std::string &name) const
{
    return findIn(*m_tables.routes, name);
}

const RouteTable &FleetState::routes() const
{
    return *m_tables.routes;
}

const Versioned<PoolSpec> *FleetState::pool(const std::string &name) const
{
    return findIn(*m_tables.pools, name);
}

const PoolTable &FleetState::pools() const
{
    return *m_tables.pools;
}

const Versioned<CustomerSpec> *FleetState::customer(const std::string &name) const
{
    return findIn(*m_tables.customers, name);
}

const CustomerTable &FleetState::customers() const
{
    return *m_tables.customers;
}

const Versioned<KeyEntry> *FleetState::key(const std::string &digest) const
{
    return m_tables.keys.find(digest);
}

bool FleetState::isHostDraining(const std::string &host) const
{
    const Versioned<bool> *draining = m_tables.drains.find(host);
    return draining != nullptr && draining->value;
}

const Authority *FleetState::authority(const std::string &pool, const std::string &model) const
{
    return m_tables.authorities.find(authorityKey(pool, model));
}

const ShardedMap<Authority> &FleetState::authorities() const
{
    return m_tables.authorities;
}

const Shares &FleetState::shares() const
{
    return *m_tables.shares;
}

const ClaimTable &FleetState::claims() const
{
    return *m_tables.claims;
}

bool FleetState::isQuarantined(const std::string &requestDigest) const
{
    const Versioned<bool> *entry = m_tables.quarantines.find(requestDigest);
    return entry != nullptr && entry->value;
}

const StateTables &FleetState::tables() const
{
    return m_tables;
}

StateTables FleetState::takeTables() &&
{
    return std::move(m_tables);
}

} // namespace celeryroute
