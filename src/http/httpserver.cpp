#include <celeryroute/detail/http/httpserver.h>

#include <celeryroute/detail/http/acceptor.h>
#include <celeryroute/detail/http/connectionwatch.h>
#include <celeryroute/detail/http/exchangeresponder.h>
#include <celeryroute/detail/http/httperrorbody.h>
#include <celeryroute/detail/http/httpexchange.h>
#include <celeryroute/detail/http/httpreception.h>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <microhttpd.h>
#include <thread>

namespace celeryroute {

namespace {

constexpr int StatusHeaderFieldsTooLarge = 431;
/// Connections above the limit that are still accepted, to be refused with an answer.
constexpr std::size_t RefusalConnections = 64;
/// Room for libmicrohttpd's own bookkeeping in the memory of a connection.
constexpr std::size_t ConnectionOverheadBytes = 4U << 10U;
/// How long a stop waits for its connections to end.
constexpr Duration LongestEnd = std::chrono::seconds(1);
constexpr Duration EndPoll = std::chrono::milliseconds(1);

int socketOf(MHD_Connection *connection)
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

MHD_Result refuse(HttpReception &reception, HttpResponse response)
{
    response.headers["connection"] = "close";
    reception.dispatched = true;
    reception.exchange->respond(std::move(response));
    return reception.exchange->advance() ? MHD_YES : MHD_NO;
}

void ignoreLog(void * /*context*/, const char * /*format*/, va_list /*arguments*/) {}

} // namespace

class HttpServer::Private
{
public:
    HttpServerSettings settings;
    HttpHandler handler;
    MHD_Daemon *daemon = nullptr;
    Acceptor acceptor = Acceptor([this](int socket, const sockaddr_in &peer) {
        ++handedOver;
        if (MHD_add_connection(daemon, socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != MHD_YES) {
            --handedOver;
        }
    });
    std::unique_ptr<ConnectionWatch> watch;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> handedOver = 0; ///< Connections that the library has, also those that it has not begun.

    static MHD_Result onAccess(void *server,
                               MHD_Connection *connection,
                               const char *path,
                               const char *method,
                               const char *version,
                               const char *data,
                               std::size_t *size,
                               void **context);
    static void onCompleted(void *server, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);
    static void
    onConnection(void *server, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code);
    Result<void> startDaemon();
    void loseAll();
    void endAll();

private:
    MHD_Result receive(HttpReception &reception, const char *data, std::size_t *size);
    MHD_Result startReception(MHD_Connection *connection, const char *path, const char *method, void **context);
    MHD_Result dispatch(HttpReception &reception);
    void complete(HttpReception *reception, bool whole);
    bool enlist(const std::shared_ptr<HttpExchange> &exchange);

    absl::Mutex m_mutex;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    absl::flat_hash_set<std::shared_ptr<HttpExchange>> m_exchanges ABSL_GUARDED_BY(m_mutex);
};

MHD_Result HttpServer::Private::onAccess(void *server,
                                         MHD_Connection *connection,
                                         const char *path,
                                         const char *method,
                                         const char * /*version*/,
                                         const char *data,
                                         std::size_t *size,
                                         void **context)
{
    auto *self = static_cast<Private *>(server);
    if (*context == nullptr) {
        return self->startReception(connection, path, method, context);
    }
    return self->receive(*static_cast<HttpReception *>(*context), data, size);
}

void HttpServer::Private::onCompleted(void *server,
                                      MHD_Connection * /*connection*/,
                                      void **context,
                                      MHD_RequestTerminationCode code)
{
    auto *reception = static_cast<HttpReception *>(*context);
    *context = nullptr;
    if (reception != nullptr) {
        static_cast<Private *>(server)->complete(reception, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
}

void HttpServer::Private::onConnection(void *server,
                                       MHD_Connection *connection,
                                       void ** /*context*/,
                                       MHD_ConnectionNotificationCode code)
{
    auto *self = static_cast<Private *>(server);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        ++self->connections;
        self->watch->connectionOpened(socketOf(connection), MonotonicClock::now());
    } else {
        self->watch->connectionClosed(socketOf(connection));
        --self->connections;
        --self->handedOver;
    }
}

MHD_Result
HttpServer::Private::startReception(MHD_Connection *connection, const char *path, const char *method, void **context)
{
    auto owned = std::make_unique<HttpReception>();
    HttpReception &reception = *owned;
    reception.request = readHead(connection, method, path);
    reception.socket = socketOf(connection);
    reception.exchange = std::make_shared<HttpExchange>(connection);
    *context = owned.release();
    reception.request.connection = watch->requestStarted(reception.socket, MonotonicClock::now());
    if (!enlist(reception.exchange)) {
        return MHD_NO;
    }
    if (connections > settings.maxConnections) {
        return refuse(
            reception,
            errorResponse(ResultCode::TooManyConnections, "the limit on connections is reached", RunState::NotRun));
    }
    if (headBytes(reception.request) > settings.maxHeaderBytes) {
        HttpResponse response = errorResponse(ResultCode::RequestTooLarge,
                                              absl::StrCat("the headers exceed ", settings.maxHeaderBytes, " bytes"),
                                              RunState::NotRun);
        response.status = StatusHeaderFieldsTooLarge;
        return refuse(reception, std::move(response));
    }
    // The library takes the first length, and chunks before any length, and would run the rest as a request.
    if (hasAmbiguousEnd(reception.request.headers)) {
        return refuse(
            reception,
            errorResponse(ResultCode::RequestMalformed, "the end of the body is ambiguous", RunState::NotRun));
    }
    if (announcesMoreThan(reception.request.headers, settings.maxBodyBytes)) {
        return refuse(reception,
                      errorResponse(ResultCode::RequestTooLarge,
                                    absl::StrCat("the body exceeds ", settings.maxBodyBytes, " bytes"),
                                    RunState::NotRun));
    }
    return MHD_YES;
}

// An answer can be queued before the body or after it only, so an over-long chunked body is read
// and discarded up to the limit once more, and cut beyond that.
MHD_Result HttpServer::Private::receive(HttpReception &reception, const char *data, std::size_t *size)
{
    if (*size == 0) {
        return dispatch(reception);
    }
    const std::size_t room = settings.maxBodyBytes - reception.request.body.size();
    const std::size_t taken = std::min(room, *size);
    reception.request.body.append(data, taken);
    reception.discardedBytes += *size - taken;
    *size = 0;
    return reception.discardedBytes <= settings.maxBodyBytes ? MHD_YES : MHD_NO;
}

MHD_Result HttpServer::Private::dispatch(HttpReception &reception)
{
    if (!reception.dispatched && reception.discardedBytes > 0) {
        return refuse(reception,
                      errorResponse(ResultCode::RequestTooLarge,
                                    absl::StrCat("the body exceeds ", settings.maxBodyBytes, " bytes"),
                                    RunState::NotRun));
    }
    if (!reception.dispatched) {
        reception.dispatched = true;
        watch->requestReceived(reception.socket, reception.exchange);
        handler(std::move(reception.request), std::make_shared<ExchangeResponder>(reception.exchange));
    }
    return reception.exchange->advance() ? MHD_YES : MHD_NO;
}

void HttpServer::Private::complete(HttpReception *reception, bool whole)
{
    const std::unique_ptr<HttpReception> owned(reception);
    watch->requestEnded(owned->socket);
    owned->exchange->finish(whole);
    absl::MutexLock lock(&m_mutex);
    m_exchanges.erase(owned->exchange);
}

bool HttpServer::Private::enlist(const std::shared_ptr<HttpExchange> &exchange)
{
    absl::MutexLock lock(&m_mutex);
    if (m_stopping) {
        return false;
    }
    m_exchanges.insert(exchange);
    return true;
}

// No connection may be suspended when the library stops; a lost exchange never suspends again.
void HttpServer::Private::loseAll()
{
    absl::flat_hash_set<std::shared_ptr<HttpExchange>> exchanges;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        exchanges = m_exchanges;
    }
    for (const std::shared_ptr<HttpExchange> &exchange : exchanges) {
        exchange->lose();
    }
}

// libmicrohttpd 0.9.75 ends the process when it refuses a malformed request by itself while it is being
// stopped: it queues no answer then and reads the missing one. So it is stopped without connections.
void HttpServer::Private::endAll()
{
    const TimePoint end = MonotonicClock::now() + LongestEnd;
    while (handedOver > 0 && MonotonicClock::now() < end) {
        watch->cutAll();
        std::this_thread::sleep_for(EndPoll);
    }
}

Result<void> HttpServer::Private::startDaemon()
{
    watch = std::make_unique<ConnectionWatch>(settings.idleTimeout);
    const auto idleSeconds = std::max<std::int64_t>(1, toMilliseconds(settings.idleTimeout) / 1000);
    const unsigned threads = std::max(1U, settings.threads);
    const MHD_OptionItem pool[] = {{threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END, threads, nullptr},
                                   {MHD_OPTION_END, 0, nullptr}};
    const std::size_t limit = settings.maxConnections + RefusalConnections * threads;
    daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET
                                  | MHD_USE_ERROR_LOG,
                              0,
                              nullptr,
                              nullptr,
                              &Private::onAccess,
                              this,
                              MHD_OPTION_EXTERNAL_LOGGER,
                              &ignoreLog,
                              nullptr,
                              MHD_OPTION_CONNECTION_LIMIT,
                              static_cast<unsigned>(limit),
                              MHD_OPTION_CONNECTION_TIMEOUT,
                              static_cast<unsigned>(idleSeconds),
                              MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                              std::size_t(settings.maxHeaderBytes * 2 + ConnectionOverheadBytes),
                              MHD_OPTION_NOTIFY_COMPLETED,
                              &Private::onCompleted,
                              this,
                              MHD_OPTION_NOTIFY_CONNECTION,
                              &Private::onConnection,
                              this,
                              MHD_OPTION_ARRAY,
                              pool,
                              MHD_OPTION_END);
    if (daemon == nullptr) {
        watch.reset();
        return fail(ResultCode::TransportFailed, "the HTTP library did not start");
    }
    return {};
}

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler handler)
    : m_private(std::make_unique<Private>())
{
    m_private->settings = std::move(settings);
    m_private->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    stop();
}

Result<void> HttpServer::start()
{
    BOOST_LEAF_CHECK(m_private->startDaemon());
    return m_private->acceptor.start(m_private->settings.address, m_private->settings.port);
}

std::uint16_t HttpServer::port() const
{
    return m_private->acceptor.port();
}

void HttpServer::stopAccepting()
{
    m_private->acceptor.stop();
}

void HttpServer::stop()
{
    m_private->acceptor.stop();
    if (m_private->daemon == nullptr) {
        return;
    }
    m_private->loseAll();
    m_private->endAll();
    MHD_stop_daemon(m_private->daemon);
    m_private->daemon = nullptr;
    m_private->watch.reset();
}

} // namespace celeryroute
