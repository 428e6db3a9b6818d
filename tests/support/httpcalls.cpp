#include "httpcalls.h"

#include <celeryroute/detail/http/httpclient.h>

namespace celeryroute {

namespace {

constexpr Duration HangGuard = std::chrono::seconds(120);

} // namespace

HttpResponse
callHttp(const std::string &method, const std::string &url, const std::string &body, const HttpFields &headers)
{
    HttpClient client;
    HttpCall call;
    call.method = method;
    call.url = url;
    call.body = body;
    call.headers = headers;
    call.totalTimeout = HangGuard;
    call.freshConnection = true;
    return handleErrors([&] { return client.perform(call); },
                        [](const Error &error) {
                            return HttpResponse{-1, {}, toString(error)};
                        });
}

nlohmann::json getJson(const std::string &url)
{
    const nlohmann::json json = nlohmann::json::parse(callHttp("GET", url).body, nullptr, false);
    return json.is_discarded() ? nlohmann::json() : json;
}

} // namespace celeryroute
