#include "staterecords.h"

#include <celeryroute/detail/state/specconversion.h>

namespace celeryroute::test {

PoolSpec enginePool(const std::string &name, int models, std::uint32_t replicas)
{
    PoolSpec pool;
    pool.name = name;
    pool.memoryMb = 40000;
    pool.maxConcurrent = 8;
    pool.maxQueued = 64;
    pool.store = {1.5, 4, 30};
    for (int i = 0; i < models; ++i) {
        pool.models.push_back({"m" + std::to_string(i), 8000, replicas, 1, {}});
    }
    return pool;
}

RouteSpec openRoute(const std::string &name, const std::string &pool)
{
    RouteSpec route;
    route.name = name;
    route.pool = pool;
    route.models = {"*"};
    route.open = true;
    route.deadlineMs = 5000;
    return route;
}

CustomerSpec customerSpec(const std::string &name)
{
    return {name, 100, 1000, 1};
}

proto::LogRecord emptyRecord(const std::string &id)
{
    proto::LogRecord record;
    record.set_id(id);
    record.set_format(1);
    record.set_author("test");
    return record;
}

proto::ItemChange putItem(const RouteSpec &spec, Revision base)
{
    proto::ItemChange change;
    change.set_base_revision(base);
    *change.mutable_route() = toProto(spec);
    return change;
}

proto::ItemChange putItem(const PoolSpec &spec, Revision base)
{
    proto::ItemChange change;
    change.set_base_revision(base);
    *change.mutable_pool() = toProto(spec);
    return change;
}

proto::ItemChange putItem(const CustomerSpec &spec, Revision base)
{
    proto::ItemChange change;
    change.set_base_revision(base);
    *change.mutable_customer() = toProto(spec);
    return change;
}

proto::LogRecord declarationRecord(const std::string &id, std::initializer_list<proto::ItemChange> changes)
{
    proto::LogRecord record = emptyRecord(id);
    record.mutable_declaration_change();
    for (const proto::ItemChange &change : changes) {
        *record.mutable_declaration_change()->add_changes() = change;
    }
    return record;
}

proto::LogRecord keyGrantRecord(const std::string &id, const std::string &digest, const std::string &customer)
{
    proto::LogRecord record = emptyRecord(id);
    record.mutable_key_grant()->set_key_digest(digest);
    record.mutable_key_grant()->set_customer(customer);
    return record;
}

proto::LogRecord keyWithdrawalRecord(const std::string &id, const std::string &digest)
{
    proto::LogRecord record = emptyRecord(id);
    record.mutable_key_withdrawal()->set_key_digest(digest);
    return record;
}

proto::LogRecord drainRecord(const std::string &id, const std::string &host, bool draining)
{
    proto::LogRecord record = emptyRecord(id);
    record.mutable_host_drain()->set_host(host);
    record.mutable_host_drain()->set_draining(draining);
    return record;
}

proto::AuthorityItem
authorityItem(proto::AuthorityAction action, const std::string &model, const std::string &host, Revision base)
{
    proto::AuthorityItem item;
    item.set_pool("p");
    item.set_model(model);
    item.set_host(host);
    item.set_incarnation(host + "#1");
    item.set_action(action);
    item.set_base_revision(base);
    return item;
}

proto::LogRecord authorityRecord(const std::string &id, std::initializer_list<proto::AuthorityItem> items)
{
    proto::LogRecord record = emptyRecord(id);
    record.mutable_authority_change();
    for (const proto::AuthorityItem &item : items) {
        *record.mutable_authority_change()->add_items() = item;
    }
    return record;
}

std::string canonical(const FleetState &state)
{
    return toWholeSnapshot(state).DebugString();
}

} // namespace celeryroute::test
