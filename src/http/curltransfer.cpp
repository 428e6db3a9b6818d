#include <celeryroute/detail/http/curltransfer.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <curl/curl.h>
#include <utility>

namespace celeryroute {

namespace {

/// Below the idle timeout of common servers, so that a connection about to be closed is not reused.
constexpr long MaxIdleConnectionSeconds = 15;

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *transfer)
{
    return static_cast<CurlTransfer *>(transfer)->appendHeader(std::string(data, size * count));
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *transfer)
{
    return static_cast<CurlTransfer *>(transfer)->appendBody(data, size * count);
}

int onBeforeSending(void *transfer, char * /*primary*/, char * /*local*/, int /*primaryPort*/, int /*localPort*/)
{
    const bool allowed = static_cast<CurlTransfer *>(transfer)->beforeSending();
    return allowed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool mayBeSentTwice(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

long milliseconds(Duration duration)
{
    return static_cast<long>(std::max<std::int64_t>(1, toMilliseconds(duration)));
}

} // namespace

CurlTransfer::CurlTransfer(void *easy, HttpCall call, HttpCallObserver observer, TimePoint now)
    : m_easy(easy)
    , m_call(std::move(call))
    , m_observer(std::move(observer))
    , m_lastProgress(now)
{
    configure();
}

CurlTransfer::~CurlTransfer()
{
    curl_slist_free_all(m_headerList);
}

void CurlTransfer::configure()
{
    curl_easy_reset(m_easy);
    curl_easy_setopt(m_easy, CURLOPT_URL, m_call.url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(m_easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, milliseconds(m_call.totalTimeout));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(m_call.connectTimeout));
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, MaxIdleConnectionSeconds);
    if (m_call.freshConnection) {
        curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!m_call.body.empty() || m_call.method == "POST" || m_call.method == "PUT") {
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body.size()));
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_call.body.c_str());
    }
    if (m_call.method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
    }
    // Waiting for "100 Continue" would cost a round trip for large bodies.
    m_headerList = curl_slist_append(m_headerList, "Expect:");
    for (const auto &[name, value] : m_call.headers) {
        m_headerList = curl_slist_append(m_headerList, absl::StrCat(name, ": ", value).c_str());
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerList);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &onBeforeSending);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
}

void *CurlTransfer::easy() const
{
    return m_easy;
}

bool CurlTransfer::progressed()
{
    return std::exchange(m_progressed, false);
}

std::optional<TimePoint> CurlTransfer::idleDeadline() const
{
    if (m_call.idleTimeout == Duration::zero()) {
        return std::nullopt;
    }
    return m_lastProgress + m_call.idleTimeout;
}

void CurlTransfer::restartIdleTimeout(TimePoint now)
{
    m_lastProgress = now;
}

void CurlTransfer::finish(int result)
{
    HttpCallEnd end;
    end.connected = m_sendAttempts > 0;
    if (result != CURLE_OK) {
        end.error = describe(result);
    }
    m_end = std::move(end);
}

void CurlTransfer::finishIdle()
{
    const std::string message = absl::StrCat("no byte from ",
                                             m_call.url,
                                             " for ",
                                             toMilliseconds(m_call.idleTimeout),
                                             " ms");
    m_end = HttpCallEnd{Error{ResultCode::TransportFailed, message}, m_sendAttempts > 0};
}

bool CurlTransfer::finished() const
{
    return m_end.has_value();
}

Error CurlTransfer::describe(int result) const
{
    const ResultCode code = m_sendAttempts > 0 ? ResultCode::TransportFailed : ResultCode::PlatformUnavailable;
    const char *text = curl_easy_strerror(static_cast<CURLcode>(result));
    return Error{code, absl::StrCat(m_call.method, " ", m_call.url, ": ", text)};
}

// Observers may start and cancel calls, which libcurl forbids inside its own callbacks; therefore
// everything is collected there and handed out here.
void CurlTransfer::deliver()
{
    deliverHead();
    if (!m_silent && !m_body.empty() && m_observer.onData) {
        const std::string data = std::exchange(m_body, {});
        m_observer.onData(data);
    }
    if (!m_silent && m_end && m_observer.onEnd) {
        m_observer.onEnd(*m_end);
    }
}

void CurlTransfer::deliverHead()
{
    if (m_silent || !m_headPending || m_headDelivered) {
        return;
    }
    m_headDelivered = true;
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    if (m_observer.onHead) {
        m_observer.onHead(static_cast<int>(status), m_headers);
    }
}

void CurlTransfer::silence()
{
    m_silent = true;
}

std::size_t CurlTransfer::appendHeader(const std::string &line)
{
    m_progressed = true;
    const std::string text(absl::StripAsciiWhitespace(line));
    if (absl::StartsWith(text, "HTTP/")) {
        m_headers.clear();
        return line.size();
    }
    if (text.empty()) {
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        m_headPending = status >= 200;
        return line.size();
    }
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos && !m_headPending) {
        const std::string name = absl::AsciiStrToLower(text.substr(0, colon));
        m_headers[name] = std::string(absl::StripAsciiWhitespace(text.substr(colon + 1)));
    }
    return line.size();
}

std::size_t CurlTransfer::appendBody(const char *data, std::size_t size)
{
    m_progressed = true;
    m_body.append(data, size);
    return size;
}

// libcurl sends a request again by itself when a reused connection dies without an answer. The
// server may have run it by then, so only calls without effects are let through a second time.
bool CurlTransfer::beforeSending()
{
    ++m_sendAttempts;
    return m_sendAttempts == 1 || mayBeSentTwice(m_call.method);
}

} // namespace celeryroute
