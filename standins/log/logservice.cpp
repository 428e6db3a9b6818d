#include <standins/logservice.h>

#include <celeryroute/detail/http/httperrorbody.h>
#include <standins/queryfield.h>
#include <standins/standinserver.h>

#include <absl/strings/escaping.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t MaxRecordsPerRead = 1000;
constexpr std::uint64_t MaxWaitMs = 60'000;
constexpr int StatusGone = 410;

HttpResponse encode(const RecordRange &range)
{
    nlohmann::json records = nlohmann::json::array();
    for (const std::string &record : range.records) {
        records.push_back(absl::Base64Escape(record));
    }
    const nlohmann::json body = {{"first", range.first}, {"next", range.next}, {"records", std::move(records)}};
    return jsonResponse(200, body.dump());
}

HttpResponse malformed(const std::string &message)
{
    return errorResponse(ResultCode::RequestMalformed, message, RunState::NotRun);
}

} // namespace

LogService::LogService(RecordLog log, Timer &timer)
    : m_timer(timer)
    , m_log(std::move(log))
{}

void LogService::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path != "/v1/records") {
        responder->respond(errorResponse(ResultCode::RouteUnknown, request.path, RunState::NotRun));
    } else if (request.method == "POST") {
        handleAppend(request, responder);
    } else if (request.method == "GET") {
        handleRead(request, responder);
    } else {
        responder->respond(errorResponse(ResultCode::MethodNotAllowed, request.method, RunState::NotRun));
    }
}

void LogService::handleAppend(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const TimePoint now = MonotonicClock::now();
    absl::MutexLock lock(&m_mutex);
    const std::optional<TimePoint> due = handleErrors(
        [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) -> Result<std::optional<TimePoint>> {
            BOOST_LEAF_AUTO(time, m_log.reserveAppend(now));
            return std::optional<TimePoint>(time);
        },
        [&](const Error &error) -> std::optional<TimePoint> {
            responder->respond(errorResponse(error.code, error.message, RunState::NotRun));
            return std::nullopt;
        });
    if (due) {
        m_timer.runAt(*due, [this, record = request.body, responder] { append(record, *responder); });
    }
}

void LogService::append(const std::string &record, HttpResponder &responder)
{
    std::vector<std::uint64_t> waiters;
    std::uint64_t offset = 0;
    {
        absl::MutexLock lock(&m_mutex);
        offset = m_log.append(record);
        for (const Waiter &waiter : m_waiters) {
            if (waiter.from <= offset) {
                waiters.push_back(waiter.id);
            }
        }
    }
    responder.respond(jsonResponse(200, nlohmann::json{{"offset", offset}}.dump()));
    for (const std::uint64_t waiter : waiters) {
        answerWaiter(waiter);
    }
}

void LogService::handleRead(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::optional<std::uint64_t> from = queryNumber(request, "from", 0);
    const std::optional<std::uint64_t> most = queryNumber(request, "max", MaxRecordsPerRead);
    const std::optional<std::uint64_t> waitMs = queryNumber(request, "wait_ms", 0);
    if (!from || !most || !waitMs) {
        responder->respond(malformed("from, max and wait_ms are whole numbers"));
        return;
    }
    std::uint64_t waiter = 0;
    {
        absl::MutexLock lock(&m_mutex);
        const std::size_t limit = std::min<std::size_t>(*most, MaxRecordsPerRead);
        if (*waitMs == 0 || *from < m_log.end()) {
            responder->respond(readAnswer(*from, limit));
            return;
        }
        waiter = ++m_lastWaiter;
        m_waiters.push_back(Waiter{waiter, *from, limit, responder});
    }
    const auto wait = std::chrono::milliseconds(std::min(*waitMs, MaxWaitMs));
    m_timer.runAfter(wait, [this, waiter] { answerWaiter(waiter); });
}

void LogService::answerWaiter(std::uint64_t id)
{
    std::shared_ptr<HttpResponder> responder;
    HttpResponse answer;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = std::find_if(m_waiters.begin(), m_waiters.end(), [id](const Waiter &waiter) {
            return waiter.id == id;
        });
        if (found == m_waiters.end()) {
            return;
        }
        responder = found->responder;
        answer = readAnswer(found->from, found->most);
        m_waiters.erase(found);
    }
    responder->respond(std::move(answer));
}

HttpResponse LogService::readAnswer(std::uint64_t from, std::size_t most) const
{
    return handleErrors(
        [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) -> Result<HttpResponse> {
            BOOST_LEAF_AUTO(range, m_log.read(from, most));
            return encode(range);
        },
        [&](const Error & /*error*/) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            return jsonResponse(StatusGone, nlohmann::json{{"first", m_log.first()}}.dump());
        });
}

} // namespace celeryroute
