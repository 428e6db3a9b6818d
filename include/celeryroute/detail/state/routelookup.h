#pragma once

#include <celeryroute/detail/state/fleetstate.h>

#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A model or adapter of a pool.
struct ServedModel {
    const ModelSpec *model = nullptr;
    const AdapterSpec *adapter = nullptr; ///< nullptr for the model itself.

    std::uint32_t replicas() const;
    std::uint32_t memoryMb() const;
    std::uint32_t version() const;
};

/// @brief Finds the model or adapter of @p pool with the name @p name (`model` or `model/adapter`).
std::optional<ServedModel> servedModel(const PoolSpec &pool, const std::string &name);

/// @brief Declared number of replicas of @p model in @p pool; 0 if it is not declared.
std::uint32_t declaredReplicas(const FleetState &state, const std::string &pool, const std::string &model);

/// @brief Names of all models and adapters (`model/adapter`) of @p pool.
std::vector<std::string> modelNames(const PoolSpec &pool);

/// @brief Whether @p customer, empty for a caller without a key, may call @p route.
bool mayCall(const RouteSpec &route, const std::string &customer);

/// @brief Whether @p route, of @p pool, serves @p model.
bool servesModel(const RouteSpec &route, const PoolSpec &pool, const std::string &model);

/// @brief All engine routes that serve @p model, in name order, regardless of customer.
std::vector<const RouteSpec *> routesForModel(const FleetState &state, const std::string &model);

/// @brief Engine routes that serve @p model and that @p customer may call; the most urgent first.
std::vector<const RouteSpec *>
callableRoutes(const FleetState &state, const std::string &customer, const std::string &model);

/// @brief Models and adapters that @p customer may call, in name order.
std::vector<std::string> visibleModels(const FleetState &state, const std::string &customer);

/// @brief The service route with the longest path prefix of @p path, or nullptr.
const RouteSpec *serviceRoute(const FleetState &state, const std::string &path);

} // namespace celeryroute
