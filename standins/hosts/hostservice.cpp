#include <standins/hostservice.h>

#include <celeryroute/detail/http/httperrorbody.h>
#include <celeryroute/detail/platform/hostlistformat.h>
#include <standins/standinserver.h>

#include <absl/strings/match.h>

#include <utility>

namespace celeryroute {

namespace {

const std::string ListPath = "/v1/hosts";
const std::string HostPrefix = "/v1/hosts/";

} // namespace

HostService::HostService(HostTable table)
    : m_table(std::move(table))
{}

void HostService::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    responder->respond(answer(request));
}

HttpResponse HostService::answer(const HttpRequest &request)
{
    const TimePoint now = MonotonicClock::now();
    if (request.path == ListPath && request.method == "GET") {
        absl::MutexLock lock(&m_mutex);
        return jsonResponse(200, encodeHostList(m_table.visible(now)));
    }
    if (!absl::StartsWith(request.path, HostPrefix)) {
        return errorResponse(ResultCode::RouteUnknown, request.path, RunState::NotRun);
    }
    const std::string name = request.path.substr(HostPrefix.size());
    if (request.method == "PUT") {
        return putHost(name, request.body);
    }
    if (request.method == "DELETE") {
        absl::MutexLock lock(&m_mutex);
        m_table.remove(name, now);
        return jsonResponse(200, "{}");
    }
    return errorResponse(ResultCode::MethodNotAllowed, request.method, RunState::NotRun);
}

HttpResponse HostService::putHost(const std::string &name, const std::string &body)
{
    return handleErrors(
        [&]() -> Result<HttpResponse> {
            BOOST_LEAF_AUTO(entry, decodeHostEntry(body));
            if (entry.host != name) {
                return fail(ResultCode::RequestMalformed, "the path and the field 'host' name different hosts");
            }
            absl::MutexLock lock(&m_mutex);
            m_table.put(entry, MonotonicClock::now());
            return jsonResponse(200, "{}");
        },
        [](const Error &error) { return errorResponse(error.code, error.message, RunState::NotRun); });
}

} // namespace celeryroute
