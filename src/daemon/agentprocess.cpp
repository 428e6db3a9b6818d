#include <celeryroute/detail/daemon/agentprocess.h>

#include "httpendpoint.h"

#include <celeryroute/detail/observe/log.h>
#include <celeryroute/detail/state/newrecord.h>

#include <peer.pb.h>

namespace celeryroute {

namespace {

AgentSettings agentSettings(const DaemonSettings &settings, const std::string &instance)
{
    AgentSettings agent;
    agent.host = settings.host;
    agent.domain = settings.domain;
    agent.incarnation = instance;
    agent.pool = settings.pool;
    agent.targetUrl = settings.targetUrl;
    agent.peerEndpoint = settings.peerListen;
    agent.stopTimeout = settings.stopTimeout;
    return agent;
}

TimelineEvent toTimelineEvent(const AgentEvent &event)
{
    TimelineEvent converted;
    converted.kind = toString(event.kind);
    converted.requestId = event.requestId;
    converted.attemptId = event.attemptId;
    converted.customer = event.customer;
    converted.route = event.route;
    converted.model = event.model;
    converted.detail = event.detail;
    return converted;
}

} // namespace

AgentProcess::AgentProcess(DaemonSettings settings)
    : m_process(std::move(settings))
    , m_answers(m_process.control(), m_process.observers().timeline, [this] { return m_agent.statusJson(); })
    , m_agent(agentSettings(m_process.settings(), m_process.instance()), agentHooks(), m_process.context())
{}

AgentProcess::~AgentProcess()
{
    m_process.control().stop();
    m_server.reset();
}

Result<void> AgentProcess::start()
{
    BOOST_LEAF_CHECK(takeGuardPort());
    BOOST_LEAF_CHECK(m_agent.start());
    m_server = std::make_unique<HttpServer>(
        httpServerSettings(m_process.settings()),
        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            handleHttp(request, *responder);
        });
    BOOST_LEAF_CHECK(m_server->start());
    ControlHooks hooks;
    hooks.hostsChanged = [this](const std::vector<HostEntry> &hosts) { m_agent.setHosts(hosts); };
    hooks.stateChanged = [] {};
    hooks.tick = [](TimePoint) {};
    m_process.control().start(std::move(hooks));
    return {};
}

// A second agent on the host would give the target orders of its own; the system refuses it the port
// even when the first one is paused.
Result<void> AgentProcess::takeGuardPort()
{
    if (m_process.settings().guardPort == 0) {
        return {};
    }
    HttpServerSettings guard;
    guard.port = static_cast<std::uint16_t>(m_process.settings().guardPort);
    m_guard = std::make_unique<HttpServer>(guard, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &) {});
    return m_guard->start();
}

AgentHooks AgentProcess::agentHooks()
{
    AgentHooks hooks;
    hooks.state = [this] { return m_process.store().state(); };
    hooks.submitAuthorityChange = [this](const proto::AuthorityChange &change) {
        proto::LogRecord record = newRecord(m_process.instance(), std::chrono::system_clock::now());
        *record.mutable_authority_change() = change;
        m_process.control().submit(std::move(record));
    };
    hooks.otherMessage = [this](const proto::Envelope &message) { return m_answers.answer(message); };
    hooks.peerOffset = [this](const std::string &sender, std::uint64_t offset) {
        m_process.control().peerOffset(sender, offset);
    };
    hooks.event = [this](const AgentEvent &event) {
        m_process.observers().timeline.record(toTimelineEvent(event), std::chrono::system_clock::now());
    };
    hooks.stampTime = [this] { return m_process.observers().timeline.stamp(); };
    hooks.observeTime = [this](std::uint64_t logicalTime) { m_process.observers().timeline.observe(logicalTime); };
    hooks.logReachable = [this] { return m_process.control().isLogReachable(); };
    return hooks;
}

void AgentProcess::handleHttp(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response{200, {{"content-type", "text/plain; charset=utf-8"}}, "ok\n"};
    if (request.path == "/metrics") {
        response.body = m_process.observers().metrics.exposition();
    } else if (request.path == "/readyz" && (m_stopping || !m_process.control().isReady())) {
        response = {503, response.headers, "not ready\n"};
    } else if (request.path != "/healthz" && request.path != "/readyz") {
        response = {404, response.headers, "an agent serves /healthz, /readyz and /metrics only\n"};
    }
    responder.respond(std::move(response));
}

void AgentProcess::requestStop(TimePoint now)
{
    m_stopRequested = now;
    m_stopping = true;
    m_agent.requestStop();
}

bool AgentProcess::advanceStop(TimePoint now)
{
    return m_agent.finished() || now - m_stopRequested >= m_process.settings().stopTimeout;
}

std::string AgentProcess::listenEndpoint() const
{
    return boundEndpoint(m_process.settings(), *m_server);
}

std::string AgentProcess::peerEndpoint() const
{
    return m_agent.endpoint();
}

} // namespace celeryroute
