#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/detail/state/routelookup.h>

namespace celeryroute {

namespace {

GrantTable
grantsOf(const FleetState &state, const PoolSpec &pool, const std::string &host, const std::string &incarnation)
{
    GrantTable grants;
    for (const std::string &item : modelNames(pool)) {
        const Authority *authority = state.authority(pool.name, item);
        const AuthorityHolder *holder = authority == nullptr ? nullptr : holderOn(*authority, host);
        if (holder == nullptr) {
            continue;
        }
        const std::optional<ServedModel> spec = servedModel(pool, item);
        const bool predecessor = holder->incarnation != incarnation;
        grants.emplace(item,
                       ItemGrant{holder->fencing, spec->memoryMb(), spec->version(), holder->revoked, predecessor});
    }
    return grants;
}

} // namespace

AgentView makeAgentView(std::shared_ptr<const FleetState> state,
                        const std::string &host,
                        const std::string &incarnation,
                        const std::string &pool)
{
    AgentView view;
    if (!state) {
        return view;
    }
    view.drained = state->isHostDraining(host);
    const Versioned<PoolSpec> *declared = state->pool(pool);
    view.grants = std::make_shared<const GrantTable>();
    if (declared != nullptr) {
        view.pool = std::make_shared<const PoolSpec>(declared->value);
        view.grants = std::make_shared<const GrantTable>(grantsOf(*state, *view.pool, host, incarnation));
    }
    view.state = std::move(state);
    return view;
}

} // namespace celeryroute
