#include <celeryroute/detail/cli/itemtext.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace celeryroute {

namespace {
std::string word(bool value)
{
    return value ? "true" : "false";
}

std::string number(double value)
{
    return absl::StrCat(value);
}

template <typename Part>
void addPart(ItemFields &fields, const std::string &prefix, const Part &part)
{
    fields[prefix + "/memory_mb"] = std::to_string(part.memoryMb);
    fields[prefix + "/replicas"] = std::to_string(part.replicas);
    fields[prefix + "/version"] = std::to_string(part.version);
}
} // namespace

ItemFields fieldsOf(const RouteSpec &route)
{
    return {{"pool", route.pool},
            {"models", absl::StrJoin(route.models, ", ")},
            {"path", route.path},
            {"customers", absl::StrJoin(route.customers, ", ")},
            {"open", word(route.open)},
            {"urgency", toString(route.urgency)},
            {"deadline_ms", std::to_string(route.deadlineMs)},
            {"repeatable", word(route.repeatable)},
            {"hedge", word(route.hedge)},
            {"tokens_per_call", std::to_string(route.tokensPerCall)}};
}

ItemFields fieldsOf(const PoolSpec &pool)
{
    ItemFields fields = {{"kind", toString(pool.kind)},
                         {"memory_mb", std::to_string(pool.memoryMb)},
                         {"max_concurrent", std::to_string(pool.maxConcurrent)},
                         {"max_queued", std::to_string(pool.maxQueued)},
                         {"targets_check_fencing", word(pool.targetsCheckFencing)},
                         {"store/loads_per_second", number(pool.store.loadsPerSecond)},
                         {"store/parallel_loads", std::to_string(pool.store.parallelLoads)},
                         {"store/adapters_in_flight", std::to_string(pool.store.adaptersInFlight)}};
    for (const ModelSpec &model : pool.models) {
        addPart(fields, "models/" + model.name, model);
        for (const AdapterSpec &adapter : model.adapters) {
            addPart(fields, absl::StrCat("models/", model.name, "/", adapter.name), adapter);
        }
    }
    return fields;
}

ItemFields fieldsOf(const CustomerSpec &customer)
{
    return {{"tokens_per_second", number(customer.tokensPerSecond)},
            {"burst_tokens", number(customer.burstTokens)},
            {"weight", number(customer.weight)}};
}

std::vector<std::string> differences(const ItemFields &before, const ItemFields &after)
{
    ItemFields all = before;
    all.insert(after.begin(), after.end());
    std::vector<std::string> lines;
    for (const auto &[field, value] : all) {
        const auto old = before.find(field);
        const auto fresh = after.find(field);
        const std::string from = old == before.end() ? "none" : old->second;
        const std::string to = fresh == after.end() ? "none" : fresh->second;
        if (from != to) {
            lines.push_back(absl::StrCat(field, ": ", from, " -> ", to));
        }
    }
    return lines;
}

} // namespace celeryroute
