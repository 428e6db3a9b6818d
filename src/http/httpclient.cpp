#include <celeryroute/detail/http/httpclient.h>

#include <celeryroute/detail/base/compactbuffer.h>
#include <celeryroute/detail/http/httpmulticlient.h>

#include <optional>

namespace celeryroute {

namespace {

constexpr Duration PollInterval = std::chrono::seconds(1);

} // namespace

class HttpClient::Private
{
public:
    HttpMultiClient multi;
};

HttpClient::HttpClient()
    : m_private(std::make_unique<Private>())
{}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::perform(const HttpCall &call)
{
    HttpResponse response;
    std::optional<HttpCallEnd> end;
    HttpCallObserver observer;
    observer.onHead = [&response](int status, const HttpFields &headers) {
        response.status = status;
        response.headers = headers;
    };
    observer.onData = [&response](const std::string &data) { appendCompactly(response.body, data); };
    observer.onEnd = [&end](const HttpCallEnd &callEnd) { end = callEnd; };
    m_private->multi.start(call, std::move(observer));
    while (!end) {
        m_private->multi.poll(PollInterval);
    }
    if (end->error) {
        return fail(*end->error);
    }
    return response;
}

} // namespace celeryroute
