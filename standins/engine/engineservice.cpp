#include <standins/engineservice.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/http/httperrorbody.h>
#include <standins/queryfield.h>
#include <standins/standinserver.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

constexpr int StatusOldFencing = 409;
constexpr int StatusNoMemory = 507;
constexpr int StatusStoreFailed = 502;
const std::string CancelPrefix = "/v1/requests/";
const std::string CancelSuffix = "/cancel";

HttpResponse orderFailure(const Error &error)
{
    HttpResponse response = errorResponse(error.code, error.message, RunState::NotRun);
    if (error.code == ResultCode::NotAuthorized) {
        response.status = StatusOldFencing;
    } else if (error.code == ResultCode::MemoryExhausted) {
        response.status = StatusNoMemory;
    }
    return response;
}

std::uint64_t headerNumber(const HttpRequest &request, const std::string &name)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(fieldOr(request.headers, name), &number) ? number : 0;
}

} // namespace

EngineService::EngineService(const EngineSettings &settings, Timer &timer)
    : m_settings(settings)
    , m_timer(timer)
    , m_generation(settings, timer)
    , m_memory(settings.memoryMb, settings.ignoreFencing)
    , m_fetcher(settings.weightsUrl)
{
    refreshReport();
}

void EngineService::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::string &path = request.path;
    if (path == "/v1/chat/completions") {
        chat(request, responder);
    } else if (path == "/v1/orders/load") {
        load(request, responder);
    } else if (path == "/v1/orders/unload") {
        responder->respond(unload(request));
    } else if (path == "/v1/inventory") {
        responder->respond(inventory());
    } else if (path == "/v1/load") {
        responder->respond(loadReport());
    } else if (path == "/v1/cache-events") {
        responder->respond(cacheEvents(request));
    } else if (path == "/control/stats") {
        responder->respond(stats());
    } else if (absl::StartsWith(path, CancelPrefix) && absl::EndsWith(path, CancelSuffix)) {
        responder->respond(cancel(path));
    } else {
        responder->respond(errorResponse(ResultCode::RouteUnknown, path, RunState::NotRun));
    }
}

void EngineService::chat(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::shared_ptr<GenerationRun> run = handleErrors(
        [&]() -> Result<std::shared_ptr<GenerationRun>> {
            BOOST_LEAF_AUTO(generation, parseGenerationRequest(request.body));
            if (!servable(generation.model)) {
                return fail(ResultCode::ModelUnknown, absl::StrCat("'", generation.model, "' is not resident"));
            }
            auto made = std::make_shared<GenerationRun>();
            made->request = std::move(generation);
            return made;
        },
        [&](const Error &error) {
            responder->respond(errorResponse(error.code, error.message, RunState::NotRun));
            return std::shared_ptr<GenerationRun>();
        });
    if (!run) {
        return;
    }
    run->id = fieldOr(request.headers, "x-request-id", randomId());
    run->responder = responder;
    run->priority = static_cast<unsigned>(headerNumber(request, "x-priority"));
    run->crashes = !m_settings.crashMarker.empty() && absl::StrContains(request.body, m_settings.crashMarker);
    if (run->request.stream) {
        run->events = streamEvents(run->request, run->id);
        run->nextEvent = std::min<std::uint64_t>(headerNumber(request, "x-resume-from"), run->events.size() - 1);
    }
    m_generation.submit(run);
}

bool EngineService::servable(const std::string &model)
{
    absl::MutexLock lock(&m_mutex);
    const std::size_t slash = model.find('/');
    return m_memory.resident(model) && (slash == std::string::npos || m_memory.resident(model.substr(0, slash)));
}

void EngineService::load(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    LoadOrder order;
    const bool begun = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(order, parseLoadOrder(request.body));
            absl::MutexLock lock(&m_mutex);
            BOOST_LEAF_AUTO(start, m_memory.startLoad(order));
            if (start == EngineMemory::Start::AlreadyResident) {
                responder->respond(jsonResponse(200, "{}"));
            } else {
                m_loadWaiters[order.item()].push_back(responder);
            }
            return start == EngineMemory::Start::Begun;
        },
        [&](const Error &error) {
            responder->respond(orderFailure(error));
            return false;
        });
    if (begun) {
        const std::string item = order.item();
        m_fetcher.fetch(item, order.adapter.empty(), order.memoryMb, [this, item](bool loaded) {
            finishLoad(item, loaded);
        });
    }
}

void EngineService::finishLoad(const std::string &item, bool loaded)
{
    std::vector<std::shared_ptr<HttpResponder>> waiters;
    {
        absl::MutexLock lock(&m_mutex);
        m_memory.finishLoad(item, loaded);
        waiters = std::exchange(m_loadWaiters[item], {});
        m_loadWaiters.erase(item);
    }
    for (const std::shared_ptr<HttpResponder> &waiter : waiters) {
        waiter->respond(loaded ? jsonResponse(200, "{}")
                               : jsonResponse(StatusStoreFailed, R"({"error": "the weight store failed"})"));
    }
}

HttpResponse EngineService::unload(const HttpRequest &request)
{
    return handleErrors(
        [&]() -> Result<HttpResponse> {
            BOOST_LEAF_AUTO(order, parseLoadOrder(request.body));
            absl::MutexLock lock(&m_mutex);
            BOOST_LEAF_CHECK(m_memory.unload(order));
            return jsonResponse(200, "{}");
        },
        [](const Error &error) { return orderFailure(error); });
}

HttpResponse EngineService::cancel(const std::string &path)
{
    const std::size_t length = path.size() - CancelPrefix.size() - CancelSuffix.size();
    const bool found = m_generation.cancel(path.substr(CancelPrefix.size(), length));
    return jsonResponse(200, Json{{"cancelled", found}}.dump());
}

HttpResponse EngineService::inventory()
{
    absl::MutexLock lock(&m_mutex);
    Json items = Json::array();
    for (const auto &[name, item] : m_memory.items()) {
        items.push_back({{"model", item.order.model},
                         {"adapter", item.order.adapter},
                         {"memory_mb", item.order.memoryMb},
                         {"version", item.order.version},
                         {"fencing", item.order.fencing},
                         {"state", item.state == EngineMemory::State::Loading ? "loading" : "resident"}});
    }
    const Json body = {{"memory_mb", m_memory.memoryMb()}, {"used_mb", m_memory.usedMb()}, {"items", items}};
    return jsonResponse(200, body.dump());
}

void EngineService::refreshReport()
{
    const GenerationCounts counts = m_generation.counts();
    {
        absl::MutexLock lock(&m_mutex);
        const auto tokens = static_cast<double>(counts.tokens - m_report.tokens);
        m_reportedTokensPerSecond = tokens / std::max(0.001, toSeconds(m_settings.reportLag));
        m_report = counts;
    }
    m_timer.runAfter(m_settings.reportLag, [this] { refreshReport(); });
}

HttpResponse EngineService::loadReport()
{
    absl::MutexLock lock(&m_mutex);
    const Json body = {{"running", m_report.running},
                       {"queued", m_report.queued},
                       {"tokens_per_second", m_reportedTokensPerSecond}};
    return jsonResponse(200, body.dump());
}

HttpResponse EngineService::cacheEvents(const HttpRequest &request)
{
    Json events = Json::array();
    for (const CacheEvent &event : m_generation.cacheEvents(queryNumber(request, "from", 0).value_or(0))) {
        events.push_back(
            {{"sequence", event.sequence}, {"prefix", event.prefix}, {"kind", event.stored ? "stored" : "evicted"}});
    }
    return jsonResponse(200, Json{{"events", events}}.dump());
}

HttpResponse EngineService::stats()
{
    const GenerationCounts counts = m_generation.counts();
    absl::MutexLock lock(&m_mutex);
    const Json body = {{"memory_mb", m_memory.memoryMb()},
                       {"used_mb", m_memory.usedMb()},
                       {"most_used_mb", m_memory.mostUsedMb()},
                       {"loads", m_memory.loads()},
                       {"fencing_refusals", m_memory.fencingRefusals()},
                       {"memory_refusals", m_memory.memoryRefusals()},
                       {"accepted", counts.accepted},
                       {"finished", counts.finished},
                       {"cancelled", counts.cancelled},
                       {"resumed", counts.resumed},
                       {"running", counts.running},
                       {"queued", counts.queued},
                       {"tokens", counts.tokens}};
    return jsonResponse(200, body.dump());
}

} // namespace celeryroute
