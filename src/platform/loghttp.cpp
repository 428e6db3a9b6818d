#include <celeryroute/detail/platform/httplog.h>
#include <celeryroute/result.h>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace celeryroute {

namespace {
constexpr int StatusOk = 200;
constexpr int StatusGone = 410;

using Json = nlohmann::json;

std::optional<std::uint64_t> numberIn(const Json &json, const char *name)
{
    const auto found = json.is_object() ? json.find(name) : json.end();
    if (found == json.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

Json parse(const HttpResponse &response)
{
    return Json::parse(response.body, nullptr, false);
}

// A client's fault (4xx) had no effect. Of anything else the log may have appended the record.
AppendOutcome appendOutcome(const HttpResponse &response)
{
    const std::optional<std::uint64_t> offset = numberIn(parse(response), "offset");
    if (response.status == StatusOk && offset) {
        return Appended{*offset};
    }
    const std::string text = absl::StrCat("the log answered the append with status ", response.status);
    if (response.status >= 400 && response.status < 500) {
        return NotAppended{Error{ResultCode::LogUnavailable, text}};
    }
    return AppendInDoubt{Error{ResultCode::LogAppendInDoubt, text}};
}

AppendOutcome appendFailure(const Error &error)
{
    if (error.code == ResultCode::PlatformUnavailable) {
        return NotAppended{Error{ResultCode::LogUnavailable, error.message}};
    }
    return AppendInDoubt{Error{ResultCode::LogAppendInDoubt, error.message}};
}

LogUnreachable unreadable(const std::string &text)
{
    return LogUnreachable{Error{ResultCode::LogUnavailable, text}};
}

ReadOutcome readBatch(const Json &json, const LogRead &read)
{
    const std::optional<std::uint64_t> first = numberIn(json, "first");
    const std::optional<std::uint64_t> next = numberIn(json, "next");
    const bool complete = first && next && json.contains("records") && json["records"].is_array();
    if (!complete) {
        return unreadable("the log answered a read without records");
    }
    LogBatch batch{*first, *next, {}};
    for (const Json &record : json["records"]) {
        std::string bytes;
        if (!record.is_string() || !absl::Base64Unescape(record.get<std::string>(), &bytes)) {
            return unreadable("the log answered a read with a record that is not base64");
        }
        batch.records.push_back(std::move(bytes));
    }
    if (read.from + batch.records.size() != batch.next) {
        return unreadable("the log answered a read with other offsets than asked for");
    }
    return batch;
}

ReadOutcome readOutcome(const HttpResponse &response, const LogRead &read)
{
    const Json json = parse(response);
    if (response.status == StatusOk) {
        return readBatch(json, read);
    }
    const std::optional<std::uint64_t> first = numberIn(json, "first");
    if (response.status == StatusGone && first) {
        return LogForgotten{*first};
    }
    return unreadable(absl::StrCat("the log answered a read with status ", response.status));
}
} // namespace

HttpLog::HttpLog(std::string url, Duration timeout)
    : m_url(std::move(url))
    , m_timeout(timeout)
    , m_client(std::make_unique<HttpClient>())
{}

AppendOutcome HttpLog::append(const std::string &record)
{
    HttpCall call;
    call.method = "POST";
    call.url = m_url + "/v1/records";
    call.headers["content-type"] = "application/octet-stream";
    call.body = record;
    call.totalTimeout = m_timeout;
    return handleErrors(
        [&]() -> Result<AppendOutcome> {
            BOOST_LEAF_AUTO(response, m_client->perform(call));
            return appendOutcome(response);
        },
        appendFailure);
}

ReadOutcome HttpLog::read(const LogRead &read)
{
    HttpCall call;
    call.url = absl::StrCat(m_url, "/v1/records?from=", read.from, "&max=", read.maxRecords, "&wait_ms=", read.waitMs);
    call.totalTimeout = m_timeout + std::chrono::milliseconds(read.waitMs);
    return handleErrors(
        [&]() -> Result<ReadOutcome> {
            BOOST_LEAF_AUTO(response, m_client->perform(call));
            return readOutcome(response, read);
        },
        [](const Error &error) -> ReadOutcome { return unreadable(error.message); });
}

} // namespace celeryroute
