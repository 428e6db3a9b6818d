#include <celeryroute/detail/entry/entryapi.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/entry/answers.h>
#include <celeryroute/detail/entry/callbuilder.h>
#include <celeryroute/detail/state/routelookup.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace celeryroute {

namespace {

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *ModelsPath = "/v1/models";
constexpr const char *HealthPath = "/healthz";
constexpr const char *ReadyPath = "/readyz";
constexpr const char *MetricsPath = "/metrics";
constexpr Duration RetryAfterStale = std::chrono::seconds(2);

using CallBuilder = Result<CallerCall> (*)(const FleetState &, const HttpRequest &, bool, TimePoint);

bool isReadOnlyPath(const std::string &path)
{
    return path == ModelsPath || path == HealthPath || path == ReadyPath || path == MetricsPath;
}

HttpResponse textResponse(int status, std::string body)
{
    return {status, {{"content-type", "text/plain; charset=utf-8"}}, std::move(body)};
}

std::string modelsJson(const std::vector<std::string> &names)
{
    nlohmann::json data = nlohmann::json::array();
    for (const std::string &name : names) {
        data.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "celeryroute"}});
    }
    return nlohmann::json({{"object", "list"}, {"data", data}}).dump();
}

} // namespace

EntryApi::EntryApi(EntryApiHooks hooks, Dispatcher &dispatcher)
    : m_hooks(std::move(hooks))
    , m_dispatcher(dispatcher)
{}

void EntryApi::handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder) const
{
    if (isReadOnlyPath(request.path) && request.method != "GET") {
        refuse(*responder, {ResultCode::MethodNotAllowed, request.path + " is read with GET only"});
        return;
    }
    if (request.path == HealthPath) {
        responder->respond(textResponse(200, "ok\n"));
        return;
    }
    if (request.path == ReadyPath) {
        handleReady(*responder);
        return;
    }
    if (request.path == MetricsPath) {
        responder->respond(textResponse(200, m_hooks.metrics()));
        return;
    }
    if (request.path == ModelsPath) {
        handleModels(request, *responder);
        return;
    }
    if (request.path == ChatPath && request.method != "POST") {
        refuse(*responder, {ResultCode::MethodNotAllowed, request.path + " is called with POST only"});
        return;
    }
    const CallBuilder build = request.path == ChatPath ? buildChatCall : buildServiceCall;
    const auto state = m_hooks.state();
    const TimePoint now = MonotonicClock::now();
    std::optional<CallerCall> call = handleErrors(
        [&]() -> Result<std::optional<CallerCall>> {
            BOOST_LEAF_AUTO(built, build(*state, request, m_hooks.keyedAllowed(), now));
            return std::optional(std::move(built));
        },
        [&](const Error &error) {
            refuse(*responder, error);
            return std::optional<CallerCall>();
        });
    if (call) {
        m_dispatcher.submit(std::move(*call), responder);
    }
}

void EntryApi::handleModels(const HttpRequest &request, HttpResponder &responder) const
{
    const auto state = m_hooks.state();
    handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(caller, callerOf(*state, request, m_hooks.keyedAllowed()));
            const std::string body = modelsJson(visibleModels(*state, caller.customer));
            responder.respond({200, {{"content-type", "application/json"}}, body});
            return true;
        },
        [&](const Error &error) {
            refuse(responder, error);
            return false;
        });
}

void EntryApi::handleReady(HttpResponder &responder) const
{
    if (m_hooks.ready()) {
        responder.respond(textResponse(200, "ready\n"));
    } else {
        responder.respond(textResponse(503, "not ready\n"));
    }
}

void EntryApi::refuse(HttpResponder &responder, const Error &error) const
{
    m_hooks.refused(error);
    const bool stale = error.code == ResultCode::StateStale;
    const CallRefusal refusal{error, RunState::NotRun, stale ? RetryAfterStale : Duration::zero()};
    responder.respond(refusalResponse(refusal, randomId()));
}

} // namespace celeryroute
