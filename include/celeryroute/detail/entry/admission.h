#pragma once

#include <celeryroute/detail/state/fleetstate.h>
#include <celeryroute/result.h>

#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// Identity of a caller, derived from its key; the customer is empty for a caller without a key.
struct Caller {
    std::string customer;
    std::string keyDigest; ///< Empty without a key.
    bool operator==(const Caller &) const = default;
};

/// @brief The bearer key of an `Authorization` header, or nullopt. Fails with RequestMalformed for
/// another scheme.
Result<std::optional<std::string>> bearerKey(const std::string &authorization);

/// @brief Identifies the caller that holds @p key. Fails with KeyUnknown or KeyWithdrawn.
Result<Caller> identifyCaller(const FleetState &state, const std::optional<std::string> &key);

/// @brief The route over which @p caller may call @p model: the one named @p routeName, or the one with
/// the highest priority. Fails with ModelUnknown, RouteForbidden, KeyMissing.
Result<RouteSpec>
chooseChatRoute(const FleetState &state, const Caller &caller, const std::string &model, const std::string &routeName);

/// @brief The route of a plain service at @p path. Fails with RouteUnknown, RouteForbidden, KeyMissing.
Result<RouteSpec> chooseServiceRoute(const FleetState &state, const Caller &caller, const std::string &path);

} // namespace celeryroute
