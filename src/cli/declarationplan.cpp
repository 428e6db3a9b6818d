#include <celeryroute/detail/cli/declarationplan.h>
#include <celeryroute/detail/cli/itemtext.h>
#include <celeryroute/detail/state/specconversion.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace celeryroute {

namespace {
void setItem(proto::ItemChange &change, const RouteSpec &spec)
{
    *change.mutable_route() = toProto(spec);
}

void setItem(proto::ItemChange &change, const PoolSpec &spec)
{
    *change.mutable_pool() = toProto(spec);
}

void setItem(proto::ItemChange &change, const CustomerSpec &spec)
{
    *change.mutable_customer() = toProto(spec);
}

template <typename Spec>
void planPuts(const std::string &kind,
              const std::map<std::string, Spec> &declared,
              const std::map<std::string, Versioned<Spec>> &table,
              std::vector<PlannedChange> &plan)
{
    for (const auto &[name, spec] : declared) {
        const auto current = table.find(name);
        if (current != table.end() && current->second.value == spec) {
            continue;
        }
        PlannedChange planned;
        planned.subject = absl::StrCat(kind, " ", name);
        planned.action = current == table.end() ? "add" : "change";
        if (current != table.end()) {
            planned.differences = differences(fieldsOf(current->second.value), fieldsOf(spec));
            planned.change.set_base_revision(current->second.revision);
        }
        setItem(planned.change, spec);
        plan.push_back(std::move(planned));
    }
}

template <typename Spec>
void planRemovals(const std::string &kind,
                  const std::map<std::string, Spec> &declared,
                  const std::map<std::string, Versioned<Spec>> &table,
                  void (*setRemoval)(proto::ItemChange &, const std::string &),
                  std::vector<PlannedChange> &plan)
{
    for (const auto &[name, current] : table) {
        if (declared.count(name) != 0) {
            continue;
        }
        PlannedChange planned;
        planned.subject = absl::StrCat(kind, " ", name);
        planned.action = "remove";
        planned.change.set_base_revision(current.revision);
        setRemoval(planned.change, name);
        plan.push_back(std::move(planned));
    }
}
} // namespace

std::vector<PlannedChange> planChanges(const Declarations &declared, const FleetState &state, bool prune)
{
    std::vector<PlannedChange> plan;
    planPuts("customer", declared.customers, state.customers(), plan);
    planPuts("pool", declared.pools, state.pools(), plan);
    planPuts("route", declared.routes, state.routes(), plan);
    if (prune) {
        const auto removeRoute = [](proto::ItemChange &change, const std::string &name) {
            change.set_remove_route(name);
        };
        const auto removePool = [](proto::ItemChange &change, const std::string &name) {
            change.set_remove_pool(name);
        };
        const auto removeCustomer = [](proto::ItemChange &change, const std::string &name) {
            change.set_remove_customer(name);
        };
        planRemovals<RouteSpec>("route", declared.routes, state.routes(), removeRoute, plan);
        planRemovals<PoolSpec>("pool", declared.pools, state.pools(), removePool, plan);
        planRemovals<CustomerSpec>("customer", declared.customers, state.customers(), removeCustomer, plan);
    }
    return plan;
}

ItemFields fieldsOfSubject(const FleetState &state, const std::string &subject)
{
    const std::size_t space = subject.find(' ');
    const std::string kind = subject.substr(0, space);
    const std::string name = space == std::string::npos ? "" : subject.substr(space + 1);
    if (kind == "route" && state.route(name) != nullptr) {
        return fieldsOf(state.route(name)->value);
    }
    if (kind == "pool" && state.pool(name) != nullptr) {
        return fieldsOf(state.pool(name)->value);
    }
    if (kind == "customer" && state.customer(name) != nullptr) {
        return fieldsOf(state.customer(name)->value);
    }
    return {};
}

} // namespace celeryroute
