#include <celeryroute/detail/residency/authorityplanner.h>
#include <celeryroute/detail/residency/itemname.h>
#include <celeryroute/detail/state/routelookup.h>

#include <records.pb.h>

#include <algorithm>
#include <map>

namespace celeryroute {

namespace {

/// Plans the authority of one agent in one pool.
class Planner
{
public:
    Planner(const FleetState &state, const PoolSpec &pool, const PlannerInput &input)
        : m_state(state)
        , m_pool(pool)
        , m_input(input)
    {}

    proto::AuthorityChange plan()
    {
        for (const ModelSpec &model : m_pool.models) {
            const std::vector<std::string> preferred = preferredHosts(model.name, model.replicas, m_input.hosts);
            planItem(model.name, model.replicas, preferred);
            const std::vector<PlacementHost> bases = hostsNamed(preferred);
            for (const AdapterSpec &adapter : model.adapters) {
                // An adapter runs only on the hosts of its base model.
                const std::string item = itemName(model.name, adapter.name);
                planItem(item, adapter.replicas, preferredHosts(item, adapter.replicas, bases));
            }
        }
        return m_change;
    }

private:
    std::vector<PlacementHost> hostsNamed(const std::vector<std::string> &names) const
    {
        std::vector<PlacementHost> found;
        for (const PlacementHost &host : m_input.hosts) {
            if (std::find(names.begin(), names.end(), host.host) != names.end()) {
                found.push_back(host);
            }
        }
        return found;
    }

    void planItem(const std::string &item, std::uint32_t replicas, const std::vector<std::string> &preferred)
    {
        if (static_cast<std::size_t>(m_change.items_size()) >= MaxPlannedItems) {
            return;
        }
        const Authority *authority = m_state.authority(m_pool.name, item);
        const AuthorityHolder *own = authority == nullptr ? nullptr : holderOn(*authority, m_input.host);
        const bool wanted = std::find(preferred.begin(), preferred.end(), m_input.host) != preferred.end();
        if (own != nullptr) {
            planHolder(item, *authority, *own, replicas, wanted);
        } else if (wanted && !m_input.leaving) {
            planGrant(item, authority, replicas);
        }
    }

    void planHolder(const std::string &item,
                    const Authority &authority,
                    const AuthorityHolder &own,
                    std::uint32_t replicas,
                    bool wanted)
    {
        if (own.revoked || own.incarnation != m_input.incarnation) {
            return;
        }
        // A loaded item is not moved, because reloading it costs more than a better balance gains.
        const bool idle = !m_input.heldItems.contains(item);
        const bool surplus = !wanted && authority.holders.size() > replicas;
        const bool move = !wanted && idle && m_moves < MaxMovesPerPlan;
        if (m_input.leaving || surplus || move) {
            m_moves += move ? 1 : 0;
            add(item, proto::REVOKE, own.host, own.incarnation, authority.revision);
        }
    }

    void planGrant(const std::string &item, const Authority *authority, std::uint32_t replicas)
    {
        const Revision revision = authority == nullptr ? 0 : authority->revision;
        std::size_t holders = authority == nullptr ? 0 : authority->holders.size();
        const AuthorityHolder *expired = nullptr;
        if (authority != nullptr && holders >= replicas) {
            expired = expiredHolder(*authority);
        }
        if (expired != nullptr) {
            add(item, proto::EXPIRE, expired->host, expired->incarnation, revision);
            --holders;
        }
        if (holders < replicas) {
            add(item, proto::GRANT, m_input.host, m_input.incarnation, revision);
        }
    }

    const AuthorityHolder *expiredHolder(const Authority &authority) const
    {
        for (const AuthorityHolder &holder : authority.holders) {
            if (m_input.expiredHosts.contains(holder.host)) {
                return &holder;
            }
        }
        return nullptr;
    }

    void add(const std::string &item,
             proto::AuthorityAction action,
             const std::string &host,
             const std::string &incarnation,
             Revision revision)
    {
        proto::AuthorityItem *entry = m_change.add_items();
        entry->set_pool(m_pool.name);
        entry->set_model(item);
        entry->set_host(host);
        entry->set_incarnation(incarnation);
        entry->set_action(action);
        entry->set_base_revision(revision);
    }

    const FleetState &m_state;
    const PoolSpec &m_pool;
    const PlannerInput &m_input;
    proto::AuthorityChange m_change;
    std::size_t m_moves = 0;
};

} // namespace

proto::AuthorityChange planAuthority(const FleetState &state, const PlannerInput &input)
{
    const Versioned<PoolSpec> *pool = state.pool(input.pool);
    if (pool == nullptr || pool->value.kind != PoolKind::Engine) {
        return {};
    }
    return Planner(state, pool->value, input).plan();
}

} // namespace celeryroute
