#include <celeryroute/detail/config/specreader.h>
#include <celeryroute/detail/config/specvalidation.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

namespace {
constexpr std::uint32_t DefaultMaxQueued = 256;
constexpr std::uint32_t DefaultDeadlineMs = 30'000;

const std::vector<std::string> RouteFields = {"name",
                                              "pool",
                                              "models",
                                              "path",
                                              "customers",
                                              "open",
                                              "urgency",
                                              "deadline_ms",
                                              "repeatable",
                                              "hedge",
                                              "tokens_per_call"};
const std::vector<std::string> PoolFields =
    {"name", "kind", "memory_mb", "max_concurrent", "max_queued", "targets_check_fencing", "models", "store"};
const std::vector<std::string> ModelFields = {"name", "memory_mb", "replicas", "version", "adapters"};
const std::vector<std::string> AdapterFields = {"name", "memory_mb", "replicas", "version"};
const std::vector<std::string> StoreFields = {"loads_per_second", "parallel_loads", "adapters_in_flight"};
const std::vector<std::string> CustomerFields = {"name", "tokens_per_second", "burst_tokens", "weight"};

// A part that could not be read has a placeholder value: what validation says of it is noise.
template <typename Spec>
void addValidation(const Spec &spec, YamlItem &item)
{
    const std::set<std::string> unreadable = item.faultyPaths;
    for (DeclarationProblem &problem : validate(spec)) {
        const bool known = unreadable.count(problem.path) != 0 || (problem.path.empty() && !unreadable.empty());
        if (!known) {
            item.addProblem(problem.path, problem.error.code, std::move(problem.error.message));
        }
    }
}

Urgency readUrgency(YamlMapping &mapping)
{
    const std::string word = mapping.text("urgency", "standard");
    const std::optional<Urgency> urgency = urgencyFromString(word);
    if (!urgency) {
        mapping.addProblem("urgency",
                           ResultCode::DeclarationInvalidValue,
                           absl::StrCat("urgency is '", word, "'; it must be interactive, standard or bulk"));
    }
    return urgency.value_or(Urgency::Standard);
}

PoolKind readKind(YamlMapping &mapping)
{
    const std::string word = mapping.text("kind", "engine");
    if (word != "engine" && word != "service") {
        mapping.addProblem("kind",
                           ResultCode::DeclarationInvalidValue,
                           absl::StrCat("kind is '", word, "'; it must be engine or service"));
    }
    return word == "service" ? PoolKind::Service : PoolKind::Engine;
}

AdapterSpec readAdapter(const YAML::Node &node, const std::string &path, YamlItem &item)
{
    YamlMapping mapping(node, path, item, AdapterFields);
    AdapterSpec adapter;
    adapter.name = mapping.requiredText("name");
    adapter.memoryMb = mapping.requiredInteger("memory_mb");
    adapter.replicas = mapping.integer("replicas", 1);
    adapter.version = mapping.integer("version", 1);
    return adapter;
}

ModelSpec readModel(const YAML::Node &node, const std::string &path, YamlItem &item)
{
    YamlMapping mapping(node, path, item, ModelFields);
    ModelSpec model;
    model.name = mapping.requiredText("name");
    model.memoryMb = mapping.requiredInteger("memory_mb");
    model.replicas = mapping.integer("replicas", 1);
    model.version = mapping.integer("version", 1);
    for (const YAML::Node &adapter : mapping.sequence("adapters")) {
        const std::string adapterPath = absl::StrCat(mapping.pathOf("adapters"), "/", model.adapters.size());
        model.adapters.push_back(readAdapter(adapter, adapterPath, item));
    }
    return model;
}

StoreLimits readStore(YamlMapping &pool, YamlItem &item)
{
    StoreLimits limits;
    if (const std::optional<YAML::Node> node = pool.child("store")) {
        YamlMapping mapping(*node, pool.pathOf("store"), item, StoreFields);
        limits.loadsPerSecond = mapping.requiredNumber("loads_per_second");
        limits.parallelLoads = mapping.requiredInteger("parallel_loads");
        limits.adaptersInFlight = mapping.requiredInteger("adapters_in_flight");
    }
    return limits;
}
} // namespace

RouteSpec readRoute(const YAML::Node &node, YamlItem &item)
{
    YamlMapping mapping(node, "", item, RouteFields);
    RouteSpec route;
    route.name = mapping.requiredText("name");
    route.pool = mapping.requiredText("pool");
    route.models = mapping.texts("models");
    route.path = mapping.text("path", "");
    route.customers = mapping.texts("customers");
    route.open = mapping.boolean("open", false);
    route.urgency = readUrgency(mapping);
    route.deadlineMs = mapping.integer("deadline_ms", DefaultDeadlineMs);
    // Generating text again does no harm; a call to a service may.
    route.repeatable = mapping.boolean("repeatable", route.path.empty());
    route.hedge = mapping.boolean("hedge", false);
    route.tokensPerCall = mapping.integer("tokens_per_call", route.path.empty() ? 0 : 1);
    addValidation(route, item);
    return route;
}

PoolSpec readPool(const YAML::Node &node, YamlItem &item)
{
    YamlMapping mapping(node, "", item, PoolFields);
    PoolSpec pool;
    pool.name = mapping.requiredText("name");
    pool.kind = readKind(mapping);
    pool.memoryMb = pool.kind == PoolKind::Engine ? mapping.requiredInteger("memory_mb")
                                                  : mapping.integer("memory_mb", 0);
    pool.maxConcurrent = mapping.requiredInteger("max_concurrent");
    pool.maxQueued = mapping.integer("max_queued", DefaultMaxQueued);
    pool.targetsCheckFencing = mapping.boolean("targets_check_fencing", false);
    for (const YAML::Node &model : mapping.sequence("models")) {
        pool.models.push_back(readModel(model, absl::StrCat("models/", pool.models.size()), item));
    }
    pool.store = readStore(mapping, item);
    addValidation(pool, item);
    return pool;
}

CustomerSpec readCustomer(const YAML::Node &node, YamlItem &item)
{
    YamlMapping mapping(node, "", item, CustomerFields);
    CustomerSpec customer;
    customer.name = mapping.requiredText("name");
    customer.tokensPerSecond = mapping.requiredNumber("tokens_per_second");
    customer.burstTokens = mapping.requiredNumber("burst_tokens");
    customer.weight = mapping.number("weight", 1);
    addValidation(customer, item);
    return customer;
}

} // namespace celeryroute
