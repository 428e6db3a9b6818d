#pragma once

#include <celeryroute/detail/config/declarations.h>
#include <celeryroute/detail/state/fleetstate.h>

#include <records.pb.h>

#include <string>
#include <vector>

namespace celeryroute {

/// One change between the state in force and the declarations.
struct PlannedChange {
    std::string subject; ///< As in `route counter`.
    std::string action; ///< `add`, `change` or `remove`.
    std::vector<std::string> differences; ///< Of a change, field by field.
    proto::ItemChange change;
};

/// @brief What turns @p state into @p declared; items that are not declared stay unless @p prune.
std::vector<PlannedChange> planChanges(const Declarations &declared, const FleetState &state, bool prune);

/// @brief The fields of `route X`, `pool X` or `customer X` in @p state, empty when it does not exist.
std::map<std::string, std::string> fieldsOfSubject(const FleetState &state, const std::string &subject);

} // namespace celeryroute
