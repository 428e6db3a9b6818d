#include <standins/plainservice.h>

#include <celeryroute/detail/base/digest.h>
#include <standins/queryfield.h>
#include <standins/standinserver.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

const std::string HealthPath = "/healthz";

} // namespace

PlainService::PlainService(Duration delay, Timer &timer)
    : m_delay(delay)
    , m_timer(timer)
{}

void PlainService::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == "/control/executions") {
        responder->respond(executions());
        return;
    }
    if (request.path == HealthPath) {
        responder->respond(jsonResponse(200, "{}"));
        return;
    }
    HttpResponse answer = execute(request);
    if (m_delay <= Duration::zero()) {
        responder->respond(std::move(answer));
        return;
    }
    m_timer.runAfter(m_delay, [answer = std::move(answer), responder] { responder->respond(answer); });
}

HttpResponse PlainService::execute(const HttpRequest &request)
{
    const std::string bodyDigest = toHex(sha256(request.body));
    const std::string key = fieldOr(request.headers, "idempotency-key");
    std::uint64_t execution = 0;
    std::uint64_t call = 0;
    {
        absl::MutexLock lock(&m_mutex);
        call = ++m_calls;
        execution = key.empty() ? 1 : ++m_executions[key];
        ++m_bodies[bodyDigest];
    }
    const nlohmann::json effect = {{"executed", key}, {"path", request.path}, {"body_digest", bodyDigest}};
    std::printf("%s\n", effect.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
    (void)std::fflush(stdout);
    const nlohmann::json body = {{"path", request.path},
                                 {"method", request.method},
                                 {"call", call},
                                 {"execution", execution},
                                 {"body_digest", bodyDigest}};
    return jsonResponse(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

HttpResponse PlainService::executions()
{
    absl::MutexLock lock(&m_mutex);
    const nlohmann::json body = {{"calls", m_calls}, {"executions", m_executions}, {"bodies", m_bodies}};
    return jsonResponse(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace celeryroute
