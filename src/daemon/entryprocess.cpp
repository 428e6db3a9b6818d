#include <celeryroute/detail/daemon/entryprocess.h>

#include "httpendpoint.h"

#include <celeryroute/detail/state/newrecord.h>

#include <nlohmann/json.hpp>
#include <peer.pb.h>

namespace celeryroute {

namespace {

/// Time for the platform's balancer to see that readiness fails before new calls are refused.
constexpr Duration BalancerDelay = std::chrono::seconds(2);

BatchOutcome batchFate(RecordStatus status)
{
    switch (status) {
    case RecordStatus::NotAppended:
        return BatchOutcome::NotAppended;
    case RecordStatus::Unsettled:
    case RecordStatus::Recorded:
        return BatchOutcome::InDoubt;
    default:
        return BatchOutcome::Appended;
    }
}

DispatcherSettings dispatcherSettings(const DaemonSettings &settings, const std::string &instance)
{
    DispatcherSettings dispatcher;
    dispatcher.host = settings.host;
    dispatcher.instance = instance;
    dispatcher.peerEndpoint = settings.peerListen;
    dispatcher.maxFlights = settings.maxRequests;
    return dispatcher;
}

} // namespace

EntryProcess::EntryProcess(DaemonSettings settings)
    : m_process(std::move(settings))
    , m_answers(m_process.control(), m_process.observers().timeline, [this] { return statusJson(); })
    , m_dispatcher(dispatcherSettings(m_process.settings(), m_process.instance()),
                   m_process.context(),
                   dispatcherHooks(),
                   m_process.observers())
    , m_api(apiHooks(), m_dispatcher)
{}

// The control thread calls the dispatcher, and HTTP threads call both, so they end in this order.
EntryProcess::~EntryProcess()
{
    m_process.control().stop();
    m_dispatcher.stop();
    m_server.reset();
}

Result<void> EntryProcess::start()
{
    BOOST_LEAF_CHECK(m_dispatcher.start());
    m_server = std::make_unique<HttpServer>(
        httpServerSettings(m_process.settings()),
        [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
            m_api.handle(std::move(request), responder);
        });
    BOOST_LEAF_CHECK(m_server->start());
    ControlHooks hooks;
    hooks.hostsChanged = [this](const std::vector<HostEntry> &hosts) { m_dispatcher.setHosts(hosts); };
    hooks.stateChanged = [this] { m_dispatcher.stateChanged(); };
    hooks.tick = [this](TimePoint now) {
        m_process.control().setLinkedDomains(m_dispatcher.linkedDomains());
        m_process.observers().metrics.setKeyedAdmission(m_process.store().isFresh(now));
    };
    m_process.control().start(std::move(hooks));
    return {};
}

EntryApiHooks EntryProcess::apiHooks()
{
    EntryApiHooks hooks;
    hooks.state = [this] { return m_process.store().state(); };
    hooks.keyedAllowed = [this] { return m_process.store().isFresh(MonotonicClock::now()); };
    hooks.ready = [this] { return isReady(); };
    hooks.metrics = [this] { return m_process.observers().metrics.exposition(); };
    hooks.refused = [this](const Error &error) {
        m_process.observers().metrics.countRefusal({}, static_cast<int>(error.code));
    };
    return hooks;
}

DispatcherHooks EntryProcess::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.state = [this] { return m_process.store().state(); };
    hooks.otherMessage = [this](const proto::Envelope &message) { return m_answers.answer(message); };
    hooks.peerOffset = [this](const std::string &sender, std::uint64_t offset) {
        m_process.control().peerOffset(sender, offset);
    };
    hooks.confirmedAt = [this] {
        const TimePoint freshUntil = m_process.store().freshUntil();
        return freshUntil == TimePoint::min() ? freshUntil : freshUntil - FreshnessLimits().maxLogSilence;
    };
    hooks.submitDivision = [this](const proto::ShareDivision &division) {
        proto::LogRecord record = newRecord(m_process.instance(), std::chrono::system_clock::now());
        *record.mutable_share_division() = division;
        m_process.control().submit(std::move(record));
    };
    hooks.submitRecord = [this](proto::LogRecord record, std::function<void(BatchOutcome, std::uint64_t)> handler) {
        m_process.control().submit(std::move(record), [handler = std::move(handler)](const RecordResult &verdict) {
            handler(batchFate(verdict.status), verdict.offset);
        });
    };
    hooks.logReachable = [this] { return m_process.control().isLogReachable(); };
    hooks.heardFrom = [this](const std::string &domain, TimePoint sentAt) {
        m_process.control().heardFrom(domain, sentAt);
    };
    return hooks;
}

// An entry without a share would refuse customers that are inside their rate. In a log outage no
// share can be had, and open routes are served all the same.
bool EntryProcess::isReady() const
{
    const Control &control = m_process.control();
    const bool shareSettled = m_dispatcher.hasHeldShare() || !control.isLogReachable();
    return !m_stopping && control.isReady() && shareSettled;
}

void EntryProcess::requestStop(TimePoint now)
{
    m_stopRequested = now;
    m_stopping = true;
}

bool EntryProcess::advanceStop(TimePoint now)
{
    if (!m_refusingNew && now - m_stopRequested >= BalancerDelay) {
        m_dispatcher.refuseNew();
        m_server->stopAccepting();
        m_refusingNew = true;
    }
    const bool idle = m_refusingNew && m_dispatcher.flights() == 0;
    return idle || now - m_stopRequested >= m_process.settings().stopTimeout;
}

std::string EntryProcess::listenEndpoint() const
{
    return boundEndpoint(m_process.settings(), *m_server);
}

std::string EntryProcess::peerEndpoint() const
{
    return m_dispatcher.endpoint();
}

std::string EntryProcess::statusJson() const
{
    const auto &settings = m_process.settings();
    const nlohmann::json status = {
        {"role", "entry"},
        {"host", settings.host},
        {"domain", settings.domain},
        {"instance", m_process.instance()},
        {"version", CELERYROUTE_VERSION},
        {"stopping", m_stopping.load()},
        {"requests_in_flight", m_dispatcher.flights()},
        {"state_offset", m_process.store().state()->nextOffset()},
        {"log_reachable", m_process.control().isLogReachable()},
        {"keyed_admission", m_process.store().isFresh(MonotonicClock::now())},
    };
    return status.dump();
}

} // namespace celeryroute
