#pragma once

#include <celeryroute/customerspec.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

#include <map>
#include <string>

namespace celeryroute {

/// The declared tables, by name.
struct Declarations {
    std::map<std::string, RouteSpec> routes;
    std::map<std::string, PoolSpec> pools;
    std::map<std::string, CustomerSpec> customers;
    bool operator==(const Declarations &) const = default;
};

} // namespace celeryroute
