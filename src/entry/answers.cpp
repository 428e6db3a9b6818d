#include <celeryroute/detail/entry/answers.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

std::string errorType(int status)
{
    switch (status) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}

} // namespace

std::string refusalJson(const CallRefusal &refusal, const std::string &requestId)
{
    const ResultCodeInfo &info = resultCodeInfo(refusal.error.code);
    nlohmann::json error = {
        {"code", static_cast<int>(info.code)},
        {"name", info.name},
        {"type", errorType(info.httpStatus)},
        {"message", refusal.error.message},
        {"run", toString(refusal.run)},
        {"request_id", requestId},
    };
    if (refusal.retryAfter > Duration::zero()) {
        error["retry_after_ms"] = toMilliseconds(refusal.retryAfter);
    }
    const nlohmann::json body = {{"error", error}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse refusalResponse(const CallRefusal &refusal, const std::string &requestId)
{
    HttpResponse response;
    response.status = resultCodeInfo(refusal.error.code).httpStatus;
    response.headers["content-type"] = "application/json";
    response.headers["x-request-id"] = requestId;
    if (refusal.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers["retry-after"] = std::to_string(seconds);
    }
    if (response.status == 401) {
        response.headers["www-authenticate"] = "Bearer";
    }
    response.body = refusalJson(refusal, requestId);
    return response;
}

std::string refusalEvent(const CallRefusal &refusal, const std::string &requestId)
{
    return "data: " + refusalJson(refusal, requestId) + "\n\n";
}

} // namespace celeryroute
