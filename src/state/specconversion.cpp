#include <celeryroute/detail/state/specconversion.h>

namespace celeryroute {

namespace {
AdapterSpec fromProto(const proto::Adapter &adapter)
{
    AdapterSpec spec;
    spec.name = adapter.name();
    spec.memoryMb = adapter.memory_mb();
    spec.replicas = adapter.replicas();
    spec.version = adapter.version();
    return spec;
}

ModelSpec fromProto(const proto::Model &model)
{
    ModelSpec spec;
    spec.name = model.name();
    spec.memoryMb = model.memory_mb();
    spec.replicas = model.replicas();
    spec.version = model.version();
    spec.adapters.reserve(static_cast<std::size_t>(model.adapters_size()));
    for (const proto::Adapter &adapter : model.adapters()) {
        spec.adapters.push_back(fromProto(adapter));
    }
    return spec;
}

void writeModel(const ModelSpec &spec, proto::Model &model)
{
    model.set_name(spec.name);
    model.set_memory_mb(spec.memoryMb);
    model.set_replicas(spec.replicas);
    model.set_version(spec.version);
    for (const AdapterSpec &adapterSpec : spec.adapters) {
        proto::Adapter &adapter = *model.add_adapters();
        adapter.set_name(adapterSpec.name);
        adapter.set_memory_mb(adapterSpec.memoryMb);
        adapter.set_replicas(adapterSpec.replicas);
        adapter.set_version(adapterSpec.version);
    }
}
} // namespace

RouteSpec fromProto(const proto::Route &route)
{
    RouteSpec spec;
    spec.name = route.name();
    spec.pool = route.pool();
    spec.models.assign(route.models().begin(), route.models().end());
    spec.path = route.path();
    spec.customers.assign(route.customers().begin(), route.customers().end());
    spec.open = route.open();
    spec.urgency = fromProto(route.urgency());
    spec.deadlineMs = route.deadline_ms();
    spec.repeatable = route.repeatable();
    spec.hedge = route.hedge();
    spec.tokensPerCall = route.tokens_per_call();
    return spec;
}

PoolSpec fromProto(const proto::Pool &pool)
{
    PoolSpec spec;
    spec.name = pool.name();
    spec.kind = pool.kind() == proto::SERVICE ? PoolKind::Service : PoolKind::Engine;
    spec.memoryMb = pool.memory_mb();
    spec.maxConcurrent = pool.max_concurrent();
    spec.maxQueued = pool.max_queued();
    spec.targetsCheckFencing = pool.targets_check_fencing();
    spec.models.reserve(static_cast<std::size_t>(pool.models_size()));
    for (const proto::Model &model : pool.models()) {
        spec.models.push_back(fromProto(model));
    }
    spec.store.loadsPerSecond = pool.store().loads_per_second();
    spec.store.parallelLoads = pool.store().parallel_loads();
    spec.store.adaptersInFlight = pool.store().adapters_in_flight();
    return spec;
}

CustomerSpec fromProto(const proto::Customer &customer)
{
    CustomerSpec spec;
    spec.name = customer.name();
    spec.tokensPerSecond = customer.tokens_per_second();
    spec.burstTokens = customer.burst_tokens();
    spec.weight = customer.weight();
    return spec;
}

Urgency fromProto(proto::Urgency urgency)
{
    switch (urgency) {
    case proto::INTERACTIVE:
        return Urgency::Interactive;
    case proto::BULK:
        return Urgency::Bulk;
    default:
        return Urgency::Standard;
    }
}

proto::Route toProto(const RouteSpec &route)
{
    proto::Route message;
    message.set_name(route.name);
    message.set_pool(route.pool);
    message.mutable_models()->Assign(route.models.begin(), route.models.end());
    message.set_path(route.path);
    message.mutable_customers()->Assign(route.customers.begin(), route.customers.end());
    message.set_open(route.open);
    message.set_urgency(toProto(route.urgency));
    message.set_deadline_ms(route.deadlineMs);
    message.set_repeatable(route.repeatable);
    message.set_hedge(route.hedge);
    message.set_tokens_per_call(route.tokensPerCall);
    return message;
}

proto::Pool toProto(const PoolSpec &pool)
{
    proto::Pool message;
    message.set_name(pool.name);
    message.set_kind(pool.kind == PoolKind::Service ? proto::SERVICE : proto::ENGINE);
    message.set_memory_mb(pool.memoryMb);
    message.set_max_concurrent(pool.maxConcurrent);
    message.set_max_queued(pool.maxQueued);
    message.set_targets_check_fencing(pool.targetsCheckFencing);
    for (const ModelSpec &model : pool.models) {
        writeModel(model, *message.add_models());
    }
    message.mutable_store()->set_loads_per_second(pool.store.loadsPerSecond);
    message.mutable_store()->set_parallel_loads(pool.store.parallelLoads);
    message.mutable_store()->set_adapters_in_flight(pool.store.adaptersInFlight);
    return message;
}

proto::Customer toProto(const CustomerSpec &customer)
{
    proto::Customer message;
    message.set_name(customer.name);
    message.set_tokens_per_second(customer.tokensPerSecond);
    message.set_burst_tokens(customer.burstTokens);
    message.set_weight(customer.weight);
    return message;
}

proto::Urgency toProto(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Interactive:
        return proto::INTERACTIVE;
    case Urgency::Bulk:
        return proto::BULK;
    case Urgency::Standard:
        break;
    }
    return proto::STANDARD;
}

} // namespace celeryroute
