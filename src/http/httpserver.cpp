#include <celeryroute/detail/http/httpserver.h>

#include <celeryroute/detail/http/exchangeresponder.h>
#include <celeryroute/detail/http/httperrorbody.h>
#include <celeryroute/detail/http/httpexchange.h>
#include <celeryroute/detail/http/httpfields.h>
#include <celeryroute/detail/http/requesttarget.h>
#include <celeryroute/detail/http1/callerserver.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

#include <cstddef>
#include <optional>
#include <thread>
#include <utility>

namespace celeryroute {

namespace {

constexpr int StatusContentTooLarge = 413;
constexpr int StatusHeaderFieldsTooLarge = 431;
constexpr int StatusRequestTimeout = 408;
/// Connections above the limit that are still accepted, to be refused with an answer.
constexpr std::size_t RefusalConnections = 64;

CallerLimits toLimits(const HttpServerSettings &settings)
{
    CallerLimits limits;
    limits.headerBytes = settings.maxHeaderBytes;
    limits.bodyBytes = settings.maxBodyBytes;
    limits.idleTimeout = settings.idleTimeout;
    limits.requestTimeout = settings.idleTimeout;
    return limits;
}

WholeAnswer toAnswer(const HttpResponse &response)
{
    return {answerHead(response), response.body};
}

HttpRequest toRequest(CallerRequest request, std::uint64_t connection)
{
    HttpRequest whole;
    whole.method = std::move(request.head.method);
    readTarget(request.head.target, whole);
    whole.headers = joinFields(request.head.fields);
    whole.body = std::move(request.body);
    whole.connection = connection;
    return whole;
}

void refuse(CallerConnection &connection, ResultCode code, const std::string &message)
{
    WholeAnswer answer = toAnswer(errorResponse(code, message, RunState::NotRun));
    answer.head.close = true;
    connection.answer(answer.head, answer.body);
}

bool repeatsLength(const HttpFields &headers)
{
    const auto length = headers.find("content-length");
    return length != headers.end() && length->second.find(',') != std::string::npos;
}

} // namespace

class HttpServer::Private final : private CallerHandler
{
public:
    Private(HttpServerSettings serverSettings, HttpHandler requestHandler);

    Result<void> start();
    void stopAccepting();
    void stop();

    std::uint16_t port = 0;

private:
    void callerRequest(CallerConnection &connection, CallerRequest request) override;
    void callerLeft(CallerConnection &connection) override;
    void callerDrained(CallerConnection &connection) override;
    void requestRejected(int status) override;
    WholeAnswer rejection(int status) const override;
    void connectionEnded(CallerConnection &connection) override;
    const CallerLimits &callerLimits() const override;
    bool stopping() const override;

    void loseExchange(CallerConnection &connection);
    void endAll();

    const HttpServerSettings m_settings;
    const CallerLimits m_limits;
    const HttpHandler m_handler;
    EventLoop m_loop;
    LoopMailbox m_mailbox{m_loop};
    CallerServer m_callers{m_loop, *this};
    absl::flat_hash_map<CallerConnection *, std::shared_ptr<HttpExchange>> m_exchanges; ///< The latest of each.
    std::thread m_thread;
};

HttpServer::Private::Private(HttpServerSettings serverSettings, HttpHandler requestHandler)
    : m_settings(std::move(serverSettings))
    , m_limits(toLimits(m_settings))
    , m_handler(std::move(requestHandler))
{
    m_callers.limitConnections(m_settings.maxConnections + RefusalConnections);
}

Result<void> HttpServer::Private::start()
{
    const std::optional<std::uint32_t> ip = parseIp(m_settings.address);
    if (!ip) {
        return fail(ResultCode::SettingInvalid, absl::StrCat("'", m_settings.address, "' is not an IPv4 number"));
    }
    BOOST_LEAF_CHECK(m_callers.listen({*ip, m_settings.port}));
    port = m_callers.port();
    m_thread = std::thread([this] { m_loop.run(); });
    return {};
}

// Returns when new callers are refused.
void HttpServer::Private::stopAccepting()
{
    if (!m_thread.joinable()) {
        return;
    }
    if (std::this_thread::get_id() == m_thread.get_id()) {
        m_callers.stopListening();
        return;
    }
    absl::Notification stopped;
    m_mailbox.post([this, &stopped] {
        m_callers.stopListening();
        stopped.Notify();
    });
    stopped.WaitForNotification();
}

void HttpServer::Private::stop()
{
    if (m_thread.joinable()) {
        m_mailbox.post([this] {
            endAll();
            m_loop.stop();
        });
        m_thread.join();
    }
}

void HttpServer::Private::endAll()
{
    m_callers.stopListening();
    const auto exchanges = m_exchanges;
    for (const auto &[connection, exchange] : exchanges) {
        exchange->lose();
    }
    m_callers.closeAll();
    m_exchanges.clear();
}

void HttpServer::Private::callerRequest(CallerConnection &connection, CallerRequest request)
{
    if (m_callers.connections() > m_settings.maxConnections) {
        refuse(connection, ResultCode::TooManyConnections, "the limit on connections is reached");
        return;
    }
    // The parser takes a length that is repeated without a change.
    HttpRequest whole = toRequest(std::move(request), connection.number());
    if (repeatsLength(whole.headers)) {
        refuse(connection, ResultCode::RequestMalformed, "the body has two lengths");
        return;
    }
    const auto exchange = std::make_shared<HttpExchange>(m_mailbox, connection, m_settings.idleTimeout);
    m_exchanges[&connection] = exchange;
    m_handler(std::move(whole), std::make_shared<ExchangeResponder>(exchange));
    exchange->advance();
}

void HttpServer::Private::callerLeft(CallerConnection &connection)
{
    loseExchange(connection);
}

void HttpServer::Private::callerDrained(CallerConnection &connection)
{
    const auto found = m_exchanges.find(&connection);
    if (found != m_exchanges.end()) {
        found->second->advance();
    }
}

void HttpServer::Private::requestRejected(int) {}

WholeAnswer HttpServer::Private::rejection(int status) const
{
    switch (status) {
    case StatusHeaderFieldsTooLarge: {
        HttpResponse response = errorResponse(ResultCode::RequestTooLarge,
                                              absl::StrCat("the headers exceed ", m_settings.maxHeaderBytes, " bytes"),
                                              RunState::NotRun);
        response.status = StatusHeaderFieldsTooLarge;
        return toAnswer(response);
    }
    case StatusContentTooLarge:
        return toAnswer(errorResponse(ResultCode::RequestTooLarge,
                                      absl::StrCat("the body exceeds ", m_settings.maxBodyBytes, " bytes"),
                                      RunState::NotRun));
    case StatusRequestTimeout:
        return toAnswer(errorResponse(ResultCode::RequestTimeout, "the request came too slowly", RunState::NotRun));
    default:
        return toAnswer(errorResponse(ResultCode::RequestMalformed,
                                      "the request is malformed or the end of its body ambiguous",
                                      RunState::NotRun));
    }
}

void HttpServer::Private::connectionEnded(CallerConnection &connection)
{
    loseExchange(connection);
    m_callers.discard(connection);
}

// It leaves the map first: losing it may report the end of its connection.
void HttpServer::Private::loseExchange(CallerConnection &connection)
{
    const auto lost = m_exchanges.extract(&connection);
    if (!lost.empty()) {
        lost.mapped()->lose();
    }
}

const CallerLimits &HttpServer::Private::callerLimits() const
{
    return m_limits;
}

bool HttpServer::Private::stopping() const
{
    return false;
}

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler handler)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(handler)))
{}

HttpServer::~HttpServer()
{
    stop();
}

Result<void> HttpServer::start()
{
    return m_private->start();
}

std::uint16_t HttpServer::port() const
{
    return m_private->port;
}

void HttpServer::stopAccepting()
{
    m_private->stopAccepting();
}

void HttpServer::stop()
{
    m_private->stop();
}

} // namespace celeryroute
