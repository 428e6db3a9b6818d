#include <celeryroute/detail/config/specvalidation.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace celeryroute {

namespace {
constexpr std::uint32_t MaxMemoryMb = 16U << 20U;
constexpr std::uint32_t MaxReplicas = 100'000;
constexpr std::uint32_t MaxDeadlineMs = 24U * 60U * 60U * 1000U;
// Paths that the entry serves itself.
const std::array<std::string, 4> ReservedPaths = {"/v1", "/healthz", "/readyz", "/metrics"};

// Collects the problems of one item.
class Problems
{
public:
    void add(ResultCode code, std::string path, std::string message)
    {
        m_problems.push_back({std::move(path), Error{code, std::move(message)}});
    }

    void invalid(std::string path, std::string message)
    {
        add(ResultCode::DeclarationInvalidValue, std::move(path), std::move(message));
    }

    void checkName(const std::string &path, const std::string &name)
    {
        if (!isValidName(name)) {
            invalid(path,
                    absl::StrCat("'", name.substr(0, MaxNameLength), "' is not a name: use letters, digits and ._:@-"));
        }
    }

    void checkRange(const std::string &path, std::uint32_t value, std::uint32_t lowest, std::uint32_t highest)
    {
        if (value < lowest || value > highest) {
            invalid(path, absl::StrCat(path, " is ", value, "; it must be from ", lowest, " to ", highest));
        }
    }

    void checkNumber(const std::string &path, double value, bool zeroAllowed)
    {
        if (!std::isfinite(value) || value < 0 || (value == 0 && !zeroAllowed)) {
            invalid(path, absl::StrCat(path, " is ", value, "; it must be ", zeroAllowed ? "0 or more" : "above 0"));
        }
    }

    void checkUnique(const std::string &path, const std::vector<std::string> &names)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < names.size(); ++i) {
            if (!seen.insert(names[i]).second) {
                add(ResultCode::DeclarationDuplicate,
                    absl::StrCat(path, "/", i),
                    absl::StrCat("'", names[i], "' is named twice"));
            }
        }
    }

    DeclarationProblems take()
    {
        return std::move(m_problems);
    }

private:
    DeclarationProblems m_problems;
};

void checkAccess(const RouteSpec &route, Problems &problems)
{
    if (route.open && !route.customers.empty()) {
        problems.invalid("open", "an open route cannot name customers");
    }
    if (!route.open && route.customers.empty()) {
        problems.add(ResultCode::DeclarationMissingField, "", "the route names no customers and is not open");
    }
    problems.checkUnique("customers", route.customers);
}

void checkModels(const RouteSpec &route, Problems &problems)
{
    problems.checkUnique("models", route.models);
    const bool wildcard = std::find(route.models.begin(), route.models.end(), "*") != route.models.end();
    if (wildcard && route.models.size() > 1) {
        problems.invalid("models", "'*' stands for all models and must be alone");
    }
}

bool isReserved(const std::string &path)
{
    return std::any_of(ReservedPaths.begin(), ReservedPaths.end(), [&path](const std::string &reserved) {
        return path == reserved || path.compare(0, reserved.size() + 1, reserved + "/") == 0;
    });
}

void checkPath(const RouteSpec &route, Problems &problems)
{
    const bool printable = std::all_of(route.path.begin(), route.path.end(), [](char byte) {
        return absl::ascii_isgraph(static_cast<unsigned char>(byte)) && byte != '?' && byte != '#';
    });
    if (route.path.front() != '/' || route.path.size() < 2 || !printable) {
        problems.invalid("path", absl::StrCat("path must be like /couriers"));
    } else if (isReserved(route.path)) {
        problems.invalid("path", absl::StrCat(route.path, " is served by the entry itself"));
    }
    if (route.tokensPerCall == 0) {
        problems.invalid("tokens_per_call", "a call of a service route must cost at least one token");
    }
}

void checkServed(const RouteSpec &route, Problems &problems)
{
    if (route.models.empty() == route.path.empty()) {
        problems.add(ResultCode::DeclarationMissingField, "", "a route has either models or a path");
    }
    if (!route.path.empty()) {
        checkPath(route, problems);
    }
    checkModels(route, problems);
}

void checkMemory(const PoolSpec &pool, std::uint64_t memoryMb, const std::string &path, Problems &problems)
{
    if (memoryMb > pool.memoryMb) {
        problems.invalid(path,
                         absl::StrCat("needs ", memoryMb, " MB; a worker of the pool has ", pool.memoryMb, " MB"));
    }
}

void checkAdapters(const PoolSpec &pool, const ModelSpec &model, const std::string &prefix, Problems &problems)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < model.adapters.size(); ++i) {
        const AdapterSpec &adapter = model.adapters[i];
        const std::string path = absl::StrCat(prefix, "/adapters/", i);
        problems.checkName(path + "/name", adapter.name);
        problems.checkRange(path + "/memory_mb", adapter.memoryMb, 1, MaxMemoryMb);
        problems.checkRange(path + "/replicas", adapter.replicas, 1, MaxReplicas);
        checkMemory(pool, std::uint64_t{model.memoryMb} + adapter.memoryMb, path + "/memory_mb", problems);
        if (!names.insert(adapter.name).second) {
            problems.add(ResultCode::DeclarationDuplicate,
                         path + "/name",
                         absl::StrCat("adapter '", adapter.name, "' is declared twice for ", model.name));
        }
    }
}

void checkPoolModels(const PoolSpec &pool, Problems &problems)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < pool.models.size(); ++i) {
        const ModelSpec &model = pool.models[i];
        const std::string path = absl::StrCat("models/", i);
        problems.checkName(path + "/name", model.name);
        problems.checkRange(path + "/memory_mb", model.memoryMb, 1, MaxMemoryMb);
        problems.checkRange(path + "/replicas", model.replicas, 1, MaxReplicas);
        checkMemory(pool, model.memoryMb, path + "/memory_mb", problems);
        if (!names.insert(model.name).second) {
            problems.add(ResultCode::DeclarationDuplicate,
                         path + "/name",
                         absl::StrCat("model '", model.name, "' is declared twice"));
        }
        checkAdapters(pool, model, path, problems);
    }
}

void checkEnginePool(const PoolSpec &pool, Problems &problems)
{
    problems.checkRange("memory_mb", pool.memoryMb, 1, MaxMemoryMb);
    if (pool.models.empty()) {
        problems.add(ResultCode::DeclarationMissingField, "", "an engine pool needs models");
    }
    checkPoolModels(pool, problems);
    problems.checkNumber("store/loads_per_second", pool.store.loadsPerSecond, false);
    problems.checkRange("store/parallel_loads", pool.store.parallelLoads, 1, MaxReplicas);
    problems.checkRange("store/adapters_in_flight", pool.store.adaptersInFlight, 1, MaxReplicas);
}
} // namespace

bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > MaxNameLength || !absl::ascii_isalnum(static_cast<unsigned char>(name.front()))) {
        return false;
    }
    return std::all_of(name.begin(), name.end(), [](char byte) {
        return absl::ascii_isalnum(static_cast<unsigned char>(byte))
            || std::string("._:@-").find(byte) != std::string::npos;
    });
}

DeclarationProblems validate(const RouteSpec &route)
{
    Problems problems;
    problems.checkName("name", route.name);
    checkAccess(route, problems);
    checkServed(route, problems);
    problems.checkRange("deadline_ms", route.deadlineMs, 1, MaxDeadlineMs);
    if (route.hedge && !route.repeatable) {
        problems.invalid("hedge", "only a repeatable route can be hedged");
    }
    return problems.take();
}

DeclarationProblems validate(const PoolSpec &pool)
{
    Problems problems;
    problems.checkName("name", pool.name);
    problems.checkRange("max_concurrent", pool.maxConcurrent, 1, MaxReplicas);
    problems.checkRange("max_queued", pool.maxQueued, 0, 10 * MaxReplicas);
    if (pool.kind == PoolKind::Engine) {
        checkEnginePool(pool, problems);
    } else if (!pool.models.empty()) {
        problems.invalid("models", "a service pool has no models");
    }
    return problems.take();
}

DeclarationProblems validate(const CustomerSpec &customer)
{
    Problems problems;
    problems.checkName("name", customer.name);
    problems.checkNumber("tokens_per_second", customer.tokensPerSecond, true);
    problems.checkNumber("burst_tokens", customer.burstTokens, true);
    problems.checkNumber("weight", customer.weight, false);
    return problems.take();
}

} // namespace celeryroute
