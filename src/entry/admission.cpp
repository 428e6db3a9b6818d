#include <celeryroute/detail/entry/admission.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/routelookup.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace celeryroute {

namespace {

constexpr std::size_t MostKeyBytes = 512;

// KeyMissing tells an anonymous caller to send a key; RouteForbidden means that the key lacks access.
boost::leaf::error_id refuseRoute(const Caller &caller, const std::string &what)
{
    if (caller.customer.empty()) {
        return fail(ResultCode::KeyMissing, what + " needs a key");
    }
    return fail(ResultCode::RouteForbidden, what + " is not open to customer " + caller.customer);
}

} // namespace

Result<std::optional<std::string>> bearerKey(const std::string &authorization)
{
    if (authorization.empty()) {
        return std::optional<std::string>();
    }
    const std::string scheme = "bearer ";
    if (!absl::StartsWithIgnoreCase(authorization, scheme)) {
        return fail(ResultCode::RequestMalformed, "the Authorization header is not of the Bearer scheme");
    }
    const std::string key(absl::StripAsciiWhitespace(authorization.substr(scheme.size())));
    if (key.empty() || key.size() > MostKeyBytes) {
        return fail(ResultCode::RequestMalformed, "the bearer key is empty or too long");
    }
    return std::optional(key);
}

Result<Caller> identifyCaller(const FleetState &state, const std::optional<std::string> &key)
{
    if (!key) {
        return Caller();
    }
    const std::string digest = sha256(*key);
    const Versioned<KeyEntry> *entry = state.key(digest);
    if (entry == nullptr) {
        return fail(ResultCode::KeyUnknown, "the key is not known");
    }
    if (entry->value.withdrawn) {
        return fail(ResultCode::KeyWithdrawn, "the key has been withdrawn");
    }
    return Caller{entry->value.customer, digest};
}

Result<RouteSpec>
chooseChatRoute(const FleetState &state, const Caller &caller, const std::string &model, const std::string &routeName)
{
    const std::vector<const RouteSpec *> routes = callableRoutes(state, caller.customer, model);
    for (const RouteSpec *route : routes) {
        if (routeName.empty() || route->name == routeName) {
            return *route;
        }
    }
    if (!routes.empty()) {
        return fail(ResultCode::RouteUnknown,
                    "no route '" + routeName + "' serves model '" + model + "' for this caller");
    }
    if (routesForModel(state, model).empty()) {
        return fail(ResultCode::ModelUnknown, "no route serves model '" + model + "'");
    }
    return refuseRoute(caller, "model '" + model + "'");
}

Result<RouteSpec> chooseServiceRoute(const FleetState &state, const Caller &caller, const std::string &path)
{
    const RouteSpec *route = serviceRoute(state, path);
    if (route == nullptr) {
        return fail(ResultCode::RouteUnknown, "no route serves " + path);
    }
    if (!mayCall(*route, caller.customer)) {
        return refuseRoute(caller, "route '" + route->name + "'");
    }
    return *route;
}

} // namespace celeryroute
