#pragma once

#include <celeryroute/detail/state/fold.h>
#include <celeryroute/detail/state/snapshot.h>

#include <initializer_list>
#include <string>
#include <vector>

namespace celeryroute::test {

/// @brief Builds an engine pool with models `m0`, `m1`, ... of @p replicas replicas each.
PoolSpec enginePool(const std::string &name, int models, std::uint32_t replicas);
/// @brief Builds a route that is open to all callers and serves all models of @p pool.
RouteSpec openRoute(const std::string &name, const std::string &pool);
CustomerSpec customerSpec(const std::string &name);

proto::LogRecord emptyRecord(const std::string &id);
proto::ItemChange putItem(const RouteSpec &spec, Revision base);
proto::ItemChange putItem(const PoolSpec &spec, Revision base);
proto::ItemChange putItem(const CustomerSpec &spec, Revision base);
proto::LogRecord declarationRecord(const std::string &id, std::initializer_list<proto::ItemChange> changes);
proto::LogRecord keyGrantRecord(const std::string &id, const std::string &digest, const std::string &customer);
proto::LogRecord keyWithdrawalRecord(const std::string &id, const std::string &digest);
proto::LogRecord drainRecord(const std::string &id, const std::string &host, bool draining);
proto::AuthorityItem
authorityItem(proto::AuthorityAction action, const std::string &model, const std::string &host, Revision base);
/// @brief Builds an AuthorityChange record; see authorityItem() for the pool and incarnations of its items.
proto::LogRecord authorityRecord(const std::string &id, std::initializer_list<proto::AuthorityItem> items);

/// @brief Returns a canonical text of @p state, which is equal for equal states.
std::string canonical(const FleetState &state);

} // namespace celeryroute::test
