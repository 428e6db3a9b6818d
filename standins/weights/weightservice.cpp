#include <standins/weightservice.h>

#include <celeryroute/detail/http/httperrorbody.h>
#include <standins/queryfield.h>
#include <standins/standinserver.h>

#include <absl/strings/match.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

const std::string CheckpointPrefix = "/v1/checkpoints/";

} // namespace

WeightService::WeightService(const StoreSettings &settings, Timer &timer)
    : m_timer(timer)
    , m_pace(settings)
{}

void WeightService::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == "/control/stats") {
        responder->respond(stats());
        return;
    }
    if (!absl::StartsWith(request.path, CheckpointPrefix)) {
        responder->respond(errorResponse(ResultCode::RouteUnknown, request.path, RunState::NotRun));
        return;
    }
    const std::string kind = fieldOr(request.query, "kind", "model");
    const std::optional<std::uint64_t> megabytes = queryNumber(request, "mb", 0);
    if ((kind != "model" && kind != "adapter") || !megabytes) {
        responder->respond(errorResponse(ResultCode::RequestMalformed, "kind=model|adapter&mb=N", RunState::NotRun));
        return;
    }
    load(kind == "model", *megabytes, responder);
}

void WeightService::load(bool isModel, std::uint64_t megabytes, const std::shared_ptr<HttpResponder> &responder)
{
    const TimePoint now = MonotonicClock::now();
    TimePoint due;
    {
        absl::MutexLock lock(&m_mutex);
        due = isModel ? m_pace.startModel(megabytes, now) : m_pace.startAdapter(now);
        ++(isModel ? m_modelLoads : m_adapterLoads);
        m_mostModels = std::max(m_mostModels, m_pace.modelsInFlight());
        m_mostAdapters = std::max(m_mostAdapters, m_pace.adaptersInFlight());
    }
    m_timer.runAt(due, [this, isModel, responder] { finish(isModel, *responder); });
}

void WeightService::finish(bool isModel, HttpResponder &responder)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (isModel) {
            m_pace.modelLoaded();
        } else {
            m_pace.adapterLoaded();
        }
    }
    responder.respond(jsonResponse(200, "{}"));
}

HttpResponse WeightService::stats()
{
    absl::MutexLock lock(&m_mutex);
    return jsonResponse(200,
                        nlohmann::json{{"model_loads", m_modelLoads},
                                       {"adapter_loads", m_adapterLoads},
                                       {"most_models_in_flight", m_mostModels},
                                       {"most_adapters_in_flight", m_mostAdapters}}
                            .dump());
}

} // namespace celeryroute
