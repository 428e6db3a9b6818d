#pragma once

#include <celeryroute/detail/config/declarationproblem.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

#include <functional>

namespace celeryroute {

/// How a route's joins are resolved.
struct JoinLookup {
    std::function<const PoolSpec *(const std::string &name)> pool; ///< nullptr when there is none.
    std::function<bool(const std::string &name)> hasCustomer;
    std::function<std::string(const std::string &wanted)> similarPool; ///< Nearest name or empty; may be unset.
    std::function<std::string(const std::string &wanted)> similarCustomer; ///< Nearest name or empty; may be unset.
};

/// @brief Names of @p route that join to nothing, or to a pool of the wrong kind.
DeclarationProblems validateJoins(const RouteSpec &route, const JoinLookup &lookup);

} // namespace celeryroute
