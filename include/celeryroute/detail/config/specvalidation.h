#pragma once

#include <celeryroute/customerspec.h>
#include <celeryroute/detail/config/declarationproblem.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

namespace celeryroute {

/// Longest name of a route, pool, customer, model or adapter, in bytes.
constexpr std::size_t MaxNameLength = 128;

/// @brief Whether @p name starts with a letter or digit and goes on with those and `._:@-`.
bool isValidName(const std::string &name);

/// @brief What is wrong with @p route by itself, without regard to other items.
DeclarationProblems validate(const RouteSpec &route);
DeclarationProblems validate(const PoolSpec &pool);
DeclarationProblems validate(const CustomerSpec &customer);

} // namespace celeryroute
