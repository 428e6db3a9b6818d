#include <celeryroute/detail/state/routelookup.h>

#include <algorithm>
#include <set>

namespace celeryroute {

namespace {
const std::string AllModels = "*";

bool isPathPrefix(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const PoolSpec *enginePoolOf(const FleetState &state, const RouteSpec &route)
{
    const Versioned<PoolSpec> *pool = state.pool(route.pool);
    const bool engine = pool != nullptr && pool->value.kind == PoolKind::Engine;
    return engine ? &pool->value : nullptr;
}
} // namespace

std::uint32_t ServedModel::replicas() const
{
    return adapter != nullptr ? adapter->replicas : model->replicas;
}

std::uint32_t ServedModel::memoryMb() const
{
    return adapter != nullptr ? adapter->memoryMb : model->memoryMb;
}

std::uint32_t ServedModel::version() const
{
    return adapter != nullptr ? adapter->version : model->version;
}

std::optional<ServedModel> servedModel(const PoolSpec &pool, const std::string &name)
{
    const std::size_t slash = name.find('/');
    const std::string modelName = name.substr(0, slash);
    const auto model = std::find_if(pool.models.begin(), pool.models.end(), [&modelName](const ModelSpec &candidate) {
        return candidate.name == modelName;
    });
    if (model == pool.models.end()) {
        return std::nullopt;
    }
    if (slash == std::string::npos) {
        return ServedModel{&*model, nullptr};
    }
    for (const AdapterSpec &adapter : model->adapters) {
        if (name.compare(slash + 1, std::string::npos, adapter.name) == 0) {
            return ServedModel{&*model, &adapter};
        }
    }
    return std::nullopt;
}

std::uint32_t declaredReplicas(const FleetState &state, const std::string &pool, const std::string &model)
{
    const Versioned<PoolSpec> *spec = state.pool(pool);
    if (spec == nullptr) {
        return 0;
    }
    const std::optional<ServedModel> served = servedModel(spec->value, model);
    return served ? served->replicas() : 0;
}

std::vector<std::string> modelNames(const PoolSpec &pool)
{
    std::vector<std::string> names;
    for (const ModelSpec &model : pool.models) {
        names.push_back(model.name);
        for (const AdapterSpec &adapter : model.adapters) {
            names.push_back(model.name + "/" + adapter.name);
        }
    }
    return names;
}

bool mayCall(const RouteSpec &route, const std::string &customer)
{
    if (route.open) {
        return true;
    }
    return !customer.empty()
        && std::find(route.customers.begin(), route.customers.end(), customer) != route.customers.end();
}

bool servesModel(const RouteSpec &route, const PoolSpec &pool, const std::string &model)
{
    const bool named = std::any_of(route.models.begin(), route.models.end(), [&model](const std::string &name) {
        return name == model || name == AllModels;
    });
    return named && servedModel(pool, model).has_value();
}

std::vector<const RouteSpec *> routesForModel(const FleetState &state, const std::string &model)
{
    std::vector<const RouteSpec *> routes;
    for (const auto &[name, route] : state.routes()) {
        const PoolSpec *pool = enginePoolOf(state, route.value);
        if (pool != nullptr && servesModel(route.value, *pool, model)) {
            routes.push_back(&route.value);
        }
    }
    return routes;
}

std::vector<const RouteSpec *>
callableRoutes(const FleetState &state, const std::string &customer, const std::string &model)
{
    std::vector<const RouteSpec *> routes = routesForModel(state, model);
    const auto forbidden = std::remove_if(routes.begin(), routes.end(), [&](const RouteSpec *route) {
        return !mayCall(*route, customer);
    });
    routes.erase(forbidden, routes.end());
    std::stable_sort(routes.begin(), routes.end(), [](const RouteSpec *left, const RouteSpec *right) {
        return left->urgency < right->urgency;
    });
    return routes;
}

std::vector<std::string> visibleModels(const FleetState &state, const std::string &customer)
{
    std::set<std::string> visible;
    for (const auto &[name, route] : state.routes()) {
        const PoolSpec *pool = enginePoolOf(state, route.value);
        if (pool == nullptr || !mayCall(route.value, customer)) {
            continue;
        }
        for (const std::string &model : modelNames(*pool)) {
            if (servesModel(route.value, *pool, model)) {
                visible.insert(model);
            }
        }
    }
    return {visible.begin(), visible.end()};
}

const RouteSpec *serviceRoute(const FleetState &state, const std::string &path)
{
    const RouteSpec *best = nullptr;
    for (const auto &[name, route] : state.routes()) {
        const RouteSpec &spec = route.value;
        if (spec.path.empty() || !isPathPrefix(spec.path, path)) {
            continue;
        }
        if (best == nullptr || spec.path.size() > best->path.size()) {
            best = &spec;
        }
    }
    return best;
}

} // namespace celeryroute
