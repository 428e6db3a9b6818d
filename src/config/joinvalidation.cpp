#include <celeryroute/detail/config/joinvalidation.h>
#include <celeryroute/detail/config/similarname.h>
#include <celeryroute/detail/state/routelookup.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

namespace {
std::string hint(const std::string &similar)
{
    return similar.empty() ? std::string() : absl::StrCat("; did you mean '", similar, "'?");
}

DeclarationProblem unknownName(std::string path, const std::string &text, const std::string &similar)
{
    return {std::move(path), Error{ResultCode::DeclarationUnknownName, text + hint(similar)}};
}

void checkModels(const RouteSpec &route, const PoolSpec &pool, DeclarationProblems &problems)
{
    for (std::size_t i = 0; i < route.models.size(); ++i) {
        const std::string &model = route.models[i];
        if (model == "*" || servedModel(pool, model)) {
            continue;
        }
        problems.push_back(unknownName(absl::StrCat("models/", i),
                                       absl::StrCat("pool '", pool.name, "' has no model '", model, "'"),
                                       similarName(model, modelNames(pool))));
    }
}

void checkPool(const RouteSpec &route, const JoinLookup &lookup, DeclarationProblems &problems)
{
    const PoolSpec *pool = lookup.pool(route.pool);
    if (pool == nullptr) {
        const std::string similar = lookup.similarPool ? lookup.similarPool(route.pool) : "";
        problems.push_back(unknownName("pool", absl::StrCat("there is no pool '", route.pool, "'"), similar));
        return;
    }
    const bool wantsEngine = route.path.empty();
    if (wantsEngine != (pool->kind == PoolKind::Engine)) {
        const std::string text = wantsEngine ? "a route with models needs an engine pool"
                                             : "a route with a path needs a service pool";
        problems.push_back({"pool", Error{ResultCode::DeclarationInvalidValue, text}});
        return;
    }
    checkModels(route, *pool, problems);
}
} // namespace

DeclarationProblems validateJoins(const RouteSpec &route, const JoinLookup &lookup)
{
    DeclarationProblems problems;
    checkPool(route, lookup, problems);
    for (std::size_t i = 0; i < route.customers.size(); ++i) {
        const std::string &customer = route.customers[i];
        if (!lookup.hasCustomer(customer)) {
            const std::string similar = lookup.similarCustomer ? lookup.similarCustomer(customer) : "";
            problems.push_back(unknownName(absl::StrCat("customers/", i),
                                           absl::StrCat("there is no customer '", customer, "'"),
                                           similar));
        }
    }
    return problems;
}

} // namespace celeryroute
