#include <standins/standinserver.h>

#include <celeryroute/detail/http/httperrorbody.h>
#include <standins/faultyresponder.h>

#include <absl/strings/match.h>

#include <utility>

namespace celeryroute {

namespace {

constexpr std::size_t ReceivedLimitBytes = 64U << 20U;
const std::string ControlPrefix = "/control/";

} // namespace

StandinServer::StandinServer(HttpServerSettings settings, Timer &timer, HttpHandler handler)
    : m_timer(timer)
    , m_handler(std::move(handler))
    , m_faults(std::make_shared<FaultState>())
    , m_received(ReceivedLimitBytes)
    , m_server(std::move(settings), [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        receive(std::move(request), std::move(responder));
    })
{}

StandinServer::~StandinServer()
{
    stop();
}

Result<void> StandinServer::start()
{
    return m_server.start();
}

std::uint16_t StandinServer::port() const
{
    return m_server.port();
}

void StandinServer::stop()
{
    m_server.stop();
    m_faults->releaseHeld();
}

void StandinServer::receive(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (handleControl(request, *responder)) {
        return;
    }
    // A stand-in's own controls, such as its counts, are met by no fault.
    if (absl::StartsWith(request.path, ControlPrefix)) {
        m_handler(std::move(request), std::move(responder));
        return;
    }
    std::uint64_t last = m_lastConnection;
    while (last < request.connection && !m_lastConnection.compare_exchange_weak(last, request.connection)) {}
    m_received.add(request);
    const Duration delay = m_faults->faults().delay;
    if (delay <= Duration::zero()) {
        handleWithFaults(std::move(request), std::move(responder));
        return;
    }
    m_timer.runAfter(delay, [this, request = std::move(request), responder = std::move(responder)]() mutable {
        handleWithFaults(std::move(request), std::move(responder));
    });
}

void StandinServer::handleWithFaults(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (m_faults->faults().down) {
        responder->end(false);
        return;
    }
    if (m_faults->silences(request.connection)) {
        m_faults->hold(std::move(responder));
        return;
    }
    const std::uint64_t connection = request.connection;
    m_handler(std::move(request), std::make_shared<FaultyResponder>(std::move(responder), m_faults, connection));
}

bool StandinServer::handleControl(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path == "/control/faults" && request.method == "POST") {
        changeFaults(request, responder);
        return true;
    }
    if (request.path == "/control/received") {
        responder.respond({200,
                           {{"content-type", "text/plain"}, {"x-truncated", m_received.truncated() ? "true" : "false"}},
                           m_received.text()});
        return true;
    }
    return false;
}

void StandinServer::changeFaults(const HttpRequest &request, HttpResponder &responder)
{
    const HttpResponse answer = handleErrors(
        [&]() -> Result<HttpResponse> {
            BOOST_LEAF_AUTO(faults, parseFaults(request.body, m_faults->faults()));
            m_faults->setFaults(faults, m_lastConnection);
            return jsonResponse(200, "{}");
        },
        [](const Error &error) { return errorResponse(error.code, error.message, RunState::NotRun); });
    responder.respond(answer);
}

HttpResponse jsonResponse(int status, const std::string &body)
{
    return HttpResponse{status, {{"content-type", "application/json"}}, body + "\n"};
}

} // namespace celeryroute
