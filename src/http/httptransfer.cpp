#include <celeryroute/detail/http/httptransfer.h>

#include <celeryroute/detail/http/httpfields.h>
#include <celeryroute/detail/http1/messagewriter.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

std::string_view describe(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NotConnected:
        return "no connection was made";
    case ExchangeFailure::NotSent:
        return "the connection broke before anything was sent";
    case ExchangeFailure::NoAnswer:
        return "the connection ended without an answer";
    case ExchangeFailure::Torn:
        return "the answer ended early";
    case ExchangeFailure::Malformed:
        return "the answer is malformed";
    case ExchangeFailure::Overlong:
        return "a part of the answer is longer than allowed";
    case ExchangeFailure::Dripping:
        return "a part of the answer was sent too slowly";
    }
    return "the call failed";
}

bool hasBody(const HttpCall &call)
{
    return !call.body.empty() || call.method == "POST" || call.method == "PUT";
}

} // namespace

HttpTransfer::HttpTransfer(EventLoop &loop,
                           TargetChannels &channels,
                           HttpCall call,
                           HttpCallObserver observer,
                           std::function<void()> over)
    : m_loop(loop)
    , m_channels(channels)
    , m_call(std::move(call))
    , m_observer(std::move(observer))
    , m_over(std::move(over))
    , m_started(loop.now())
    , m_progressed(loop.now())
{}

HttpTransfer::~HttpTransfer()
{
    m_loop.cancel(m_timer);
}

void HttpTransfer::start()
{
    const std::optional<HttpUrl> url = parseHttpUrl(m_call.url);
    if (!url) {
        failLater("not an http URL with an IPv4 number");
        return;
    }
    m_url = *url;
    awaitDeadline();
    send();
}

void HttpTransfer::cancel()
{
    m_silent = true; // The observer may be on the call stack.
    m_loop.cancel(m_timer);
    m_timer = 0;
    if (m_connection != nullptr) {
        std::exchange(m_connection, nullptr)->abandon();
    }
}

TargetRequest HttpTransfer::request() const
{
    TargetRequest request;
    appendRequestLine(request.head, m_call.method, m_url.target);
    appendField(request.head, "host", m_url.host);
    for (const HeaderField &field : sendableFields(m_call.headers)) {
        if (!equalsIgnoringCase(field.name, "host")) {
            appendField(request.head, field.name, field.value);
        }
    }
    if (hasBody(m_call)) {
        appendField(request.head, "content-length", std::to_string(m_call.body.size()));
    }
    request.head.append("\r\n");
    request.body = m_call.body;
    request.withoutAnswerBody = m_call.method == "HEAD";
    request.single = m_call.freshConnection;
    request.connectTimeout = m_call.connectTimeout;
    return request;
}

void HttpTransfer::send()
{
    const std::uint64_t opened = m_channels.opened();
    m_connection = &m_channels.start(m_url.endpoint, request(), *this);
    m_onKeptChannel = m_channels.opened() == opened;
}

void HttpTransfer::exchangeHead(MessageHead head)
{
    m_progressed = m_loop.now();
    if (!m_silent && m_observer.onHead) {
        m_observer.onHead(head.status, joinFields(head.fields));
    }
}

void HttpTransfer::exchangeBody(std::string &body)
{
    m_progressed = m_loop.now();
    const std::string data = std::exchange(body, {});
    m_receivedBytes += data.size();
    if (m_receivedBytes > m_call.maxAnswerBytes) {
        std::exchange(m_connection, nullptr)->abandon();
        fail(true, absl::StrCat("the answer is longer than ", m_call.maxAnswerBytes, " bytes"));
        return;
    }
    if (!m_silent && m_observer.onData) {
        m_observer.onData(data);
    }
}

void HttpTransfer::exchangeComplete()
{
    m_connection = nullptr;
    finish({std::nullopt, true});
}

void HttpTransfer::exchangeFailed(ExchangeFailure failure)
{
    m_connection = nullptr;
    if (mayBeSentAgain(failure)) {
        send();
        return;
    }
    const bool sent = failure != ExchangeFailure::NotConnected && failure != ExchangeFailure::NotSent;
    fail(sent, std::string(describe(failure)));
}

// The server may close a kept channel just when the next request is sent. It may have run the request by
// then, so once a byte has left, only calls without effects are sent again.
bool HttpTransfer::mayBeSentAgain(ExchangeFailure failure) const
{
    const bool withoutEffects = m_call.method == "GET" || m_call.method == "HEAD";
    return m_onKeptChannel
        && (failure == ExchangeFailure::NotSent || (failure == ExchangeFailure::NoAnswer && withoutEffects));
}

void HttpTransfer::awaitDeadline()
{
    TimePoint deadline = m_started + m_call.totalTimeout;
    if (m_call.idleTimeout > Duration::zero()) {
        deadline = std::min(deadline, m_progressed + m_call.idleTimeout);
    }
    m_timer = m_loop.at(deadline, [this] {
        m_timer = 0;
        deadlineReached();
    });
}

// Bytes that arrive do not move the timer; it looks again when it fires.
void HttpTransfer::deadlineReached()
{
    const bool late = m_loop.now() >= m_started + m_call.totalTimeout;
    const bool idle = m_call.idleTimeout > Duration::zero() && m_loop.now() >= m_progressed + m_call.idleTimeout;
    if (!late && !idle) {
        awaitDeadline();
        return;
    }
    TargetConnection *connection = std::exchange(m_connection, nullptr);
    const bool sent = connection != nullptr && connection->sentAny();
    if (connection != nullptr) {
        connection->abandon();
    }
    const Duration limit = late ? m_call.totalTimeout : m_call.idleTimeout;
    fail(sent, absl::StrCat(late ? "no end within " : "no byte for ", toMilliseconds(limit), " ms"));
}

void HttpTransfer::failLater(const std::string &reason)
{
    m_loop.defer([weak = weak_from_this(), reason] {
        if (const std::shared_ptr<HttpTransfer> self = weak.lock()) {
            self->fail(false, reason);
        }
    });
}

void HttpTransfer::fail(bool connected, const std::string &reason)
{
    const ResultCode code = connected ? ResultCode::TransportFailed : ResultCode::PlatformUnavailable;
    finish({Error{code, absl::StrCat(m_call.method, " ", m_call.url, ": ", reason)}, connected});
}

void HttpTransfer::finish(const HttpCallEnd &end)
{
    const std::shared_ptr<HttpTransfer> kept = shared_from_this();
    m_loop.cancel(m_timer);
    m_timer = 0;
    const HttpCallObserver observer = std::exchange(m_observer, {});
    m_over();
    if (!m_silent && observer.onEnd) {
        observer.onEnd(end);
    }
}

} // namespace celeryroute
