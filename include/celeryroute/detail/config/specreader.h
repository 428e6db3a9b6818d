#pragma once

#include <celeryroute/customerspec.h>
#include <celeryroute/detail/config/yamlmapping.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

namespace celeryroute {

// Each function reads one item; mistakes, also those of value and range, go to @p item.

RouteSpec readRoute(const YAML::Node &node, YamlItem &item);
PoolSpec readPool(const YAML::Node &node, YamlItem &item);
CustomerSpec readCustomer(const YAML::Node &node, YamlItem &item);

} // namespace celeryroute
