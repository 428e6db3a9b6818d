#include <celeryroute/detail/http/httperrorbody.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

HttpResponse errorResponse(ResultCode code, const std::string &message, RunState run)
{
    const ResultCodeInfo &info = resultCodeInfo(code);
    const nlohmann::json body = {
        {"error",
         {{"code", static_cast<int>(code)}, {"type", info.name}, {"message", message}, {"run", toString(run)}}}};
    HttpResponse response;
    response.status = info.httpStatus == 0 ? resultCodeInfo(ResultCode::Internal).httpStatus : info.httpStatus;
    response.headers["content-type"] = "application/json";
    // Callers' text may hold bytes that are not UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace celeryroute
