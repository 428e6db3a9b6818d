#pragma once

#include <celeryroute/customerspec.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// Field paths of an item and their values as text, as in `models/oak/replicas`.
using ItemFields = std::map<std::string, std::string>;

ItemFields fieldsOf(const RouteSpec &route);
ItemFields fieldsOf(const PoolSpec &pool);
ItemFields fieldsOf(const CustomerSpec &customer);

/// @brief One line for each field that differs, as in `urgency: standard -> bulk`.
std::vector<std::string> differences(const ItemFields &before, const ItemFields &after);

} // namespace celeryroute
