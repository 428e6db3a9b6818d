#include <celeryroute/detail/node/agentnode.h>

#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/node/processgauges.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration EntryMemory = std::chrono::seconds(4);
constexpr Duration ReportTimeout = std::chrono::milliseconds(500);
constexpr Duration OrderTimeout = std::chrono::milliseconds(800);
constexpr Duration FenceTimeout = std::chrono::seconds(1);
constexpr Duration LeastFenceRetry = std::chrono::milliseconds(100);
constexpr Duration MostFenceRetry = std::chrono::seconds(1);
constexpr Duration Heartbeat = std::chrono::milliseconds(900);
constexpr Duration LoadNews = std::chrono::milliseconds(150); ///< Between messages that only tell other load figures.

KeeperSettings keeperSettings(const NodeCore &core)
{
    KeeperSettings settings;
    settings.holder = core.settings.name;
    settings.bounds = core.settings.bounds;
    settings.started = core.loop.now();
    settings.startedMs = wallClockMs();
    settings.firstStart = core.settings.firstStart;
    return settings;
}

} // namespace

AgentNode::AgentNode(NodeCore &core)
    : m_core(core)
    , m_store(core.loop, parseEndpoint(core.settings.storeAddress).value_or(Endpoint{}))
    , m_target(core.loop, parseEndpoint(core.settings.targetAddress).value_or(Endpoint{}))
    , m_desired(FollowingSettings::forState(core.settings.bounds),
                core.settings.bounds.keyRevocation,
                core.translation.servingState,
                core.seed)
    , m_desiredDriver(core.loop,
                      m_store,
                      core.translation,
                      core.metrics,
                      {[this](TimePoint now) { return m_desired.next(now); },
                       [this](FeedAnswer answer, TimePoint began, TimePoint now) {
                           takeDesired(m_desired.answered(std::move(answer), began, now));
                       },
                       [this](TimePoint now) { m_desired.timedOut(now); }})
    , m_keeper(keeperSettings(core))
    , m_peers(core.loop,
              core.settings.ip,
              core.incarnation,
              [this](const Endpoint &, const wire::Envelope &envelope) { received(envelope); })
    , m_entries(EntryMemory)
    , m_fenceDelay(LeastFenceRetry, MostFenceRetry, core.seed)
    , m_metrics(core, [this] { return gauges(); })
{}

AgentNode::~AgentNode()
{
    m_core.loop.cancel(m_reportTimer);
}

Result<void> AgentNode::start()
{
    BOOST_LEAF_CHECK(m_peers.open({parseIp(m_core.settings.ip).value_or(0), m_core.settings.firstPeerPort}));
    m_metrics.listen();
    m_desiredDriver.advance();
    acquireFence();
    readReport();
    return {};
}

void AgentNode::takeDesired(const std::vector<DesiredEvent> &events)
{
    for (const DesiredEvent &event : events) {
        const auto *changed = std::get_if<StateChanged>(&event);
        if (changed == nullptr) {
            continue;
        }
        m_core.log.write(DecisionEvent::StateApplied,
                         m_core.loop.now(),
                         {{fieldnames::StateVersion, changed->state->version}});
        useSpec();
    }
    advance();
}

// The offset of a record of its own is higher than any that an earlier agent got.
void AgentNode::acquireFence()
{
    const FeedCall call = AppendRecord{FeedTopic::Fences, m_core.settings.name};
    m_store.call(m_core.translation.feedCall(call),
                 FenceTimeout,
                 [this, call](const MessageHead &head, const std::string &body) {
                     const FeedAnswer answer = head.status == 0
                         ? FeedAnswer(FeedUnavailable{0})
                         : m_core.translation.feedAnswer(call, head.status, body);
                     m_core.metrics.countStoreCall(StoreCallKind::Append,
                                                   std::holds_alternative<RecordAppended>(answer)
                                                       ? StoreCallOutcome::Answered
                                                       : StoreCallOutcome::Lost);
                     if (const auto *appended = std::get_if<RecordAppended>(&answer)) {
                         const std::uint64_t fence = appended->offset + 1;
                         m_core.log.write(DecisionEvent::AgentFenced,
                                          m_core.loop.now(),
                                          {{fieldnames::Target, m_instance}, {"fence", fence}});
                         m_keeper.useFence(fence);
                         advance();
                         return;
                     }
                     m_core.loop.at(m_core.loop.now() + m_fenceDelay.failed(), [this] { acquireFence(); });
                 });
}

void AgentNode::received(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    const bool known = m_entries.peers().contains(envelope.sender());
    if (!envelope.has_usage() || !m_entries.hear(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)) {
        return;
    }
    if (envelope.usage().instance() != m_instance || envelope.usage().successor() != m_successor) {
        m_instance = envelope.usage().instance();
        m_successor = envelope.usage().successor();
        m_keeper.useInstance(m_instance, m_successor);
    }
    m_keeper.noteUsage(envelope.sender(), readDemand(envelope.usage()), now);
    advance();
    if (!known) {
        broadcast(); // Entries learn of each other here, and share allowances only then.
    }
}

void AgentNode::advance()
{
    const TimePoint now = m_core.loop.now();
    if (const auto order = m_keeper.nextOrder(now)) {
        sendOrder(*order);
    }
    publish(m_keeper.stateVersion() != m_publishedVersion);
    scheduleReport();
}

void AgentNode::scheduleReport()
{
    if (m_reading) {
        return;
    }
    const TimePoint due = m_keeper.nextReportAt(m_core.loop.now());
    if (m_reportTimer != 0 && m_reportAt == due) {
        return;
    }
    m_core.loop.cancel(m_reportTimer);
    m_reportAt = due;
    m_reportTimer = m_core.loop.at(due, [this] {
        m_reportTimer = 0;
        readReport();
    });
}

void AgentNode::readReport()
{
    if (m_reading) {
        return;
    }
    m_reading = true;
    const TimePoint began = m_core.loop.now();
    m_target.call(
        m_core.translation.reportCall,
        ReportTimeout,
        [this, began](const MessageHead &head, const std::string &body) { reportRead(head.status, body, began); });
}

void AgentNode::reportRead(int status, const std::string &body, TimePoint began)
{
    m_reading = false;
    const TimePoint now = m_core.loop.now();
    const auto report = status == 0 ? std::nullopt : m_core.translation.targetReport(body);
    if (report) {
        m_keeper.noteReport(*report, began, now);
    } else {
        m_keeper.noteUnreachable(now);
    }
    advance();
}

void AgentNode::sendOrder(const TargetOrder &order)
{
    m_core.log.write(DecisionEvent::AgentOrder,
                     m_core.loop.now(),
                     {{fieldnames::Target, order.instance},
                      {"operation", labelValue(order.kind)},
                      {fieldnames::Item, order.adapter.empty() ? order.model : order.model + '/' + order.adapter},
                      {"sequence", order.expectedSequence},
                      {"fence", order.fence}});
    PlainCall call = m_core.translation.orderCall(order);
    call.fields.push_back({m_core.translation.headers.instance, order.instance});
    m_target.call(call, OrderTimeout, [this, order](const MessageHead &head, const std::string &) {
        orderAnswered(order, head);
    });
}

void AgentNode::orderAnswered(const TargetOrder &order, const MessageHead &head)
{
    OrderAnswer outcome = head.status == 0 ? OrderAnswer::InDoubt : m_core.translation.orderOutcome(head.status);
    if (outcome == OrderAnswer::InDoubt && head.field(m_core.translation.headers.notRun) != nullptr) {
        outcome = OrderAnswer::Rejected;
    }
    m_core.metrics.countOrder(order.kind, outcome);
    m_core.log.write(DecisionEvent::AgentOutcome,
                     m_core.loop.now(),
                     {{fieldnames::Target, order.instance},
                      {"operation", labelValue(order.kind)},
                      {fieldnames::Item, order.adapter.empty() ? order.model : order.model + '/' + order.adapter},
                      {"outcome", labelValue(outcome)},
                      {"status", head.status}});
    m_keeper.noteOutcome(order, outcome, m_core.loop.now());
    advance();
}

// News of what is loaded goes out at once, other load figures now and then.
void AgentNode::publish(bool urgent)
{
    const TimePoint now = m_core.loop.now();
    if (urgent) {
        m_publishedVersion = m_keeper.stateVersion();
        broadcast();
        return;
    }
    const KeeperView view = m_keeper.view(now);
    const bool differs = view.queued != m_published.queued || view.active != m_published.active
        || view.cacheUsed != m_published.cacheUsed;
    if (now - m_broadcastAt >= (differs ? LoadNews : Heartbeat)) {
        broadcast();
    }
}

void AgentNode::broadcast()
{
    const TimePoint now = m_core.loop.now();
    m_entries.forgetSilent(now);
    m_broadcastAt = now;
    m_published = m_keeper.view(now);
    if (m_instance.empty() || m_entries.peers().empty()) {
        return;
    }
    wire::Envelope envelope;
    wire::AgentState &state = *envelope.mutable_agent();
    writeView(m_published, state);
    for (const auto &[address, peer] : m_entries.peers()) {
        state.add_entries(address);
    }
    for (const auto &[address, peer] : m_entries.peers()) {
        m_peers.send({parseIp(address).value_or(0), m_core.settings.firstPeerPort}, envelope);
    }
}

ServingGauges AgentNode::gauges() const
{
    const TimePoint now = m_core.loop.now();
    const KeeperView view = m_keeper.view(now);
    ServingGauges gauges = processGauges(m_core);
    if (m_desired.state() != nullptr) {
        gauges.stateVersion = m_desired.state()->version;
    }
    gauges.stateAge = ageOf(m_desired.follower(), now);
    gauges.queuedRequests = view.queued;
    gauges.runningRequests = view.active;
    gauges.targetConnections = m_target.connections();
    gauges.storeConnections = m_store.connections();
    gauges.peers = m_entries.peers().size();
    return gauges;
}

void AgentNode::beginStop()
{
    m_core.log.write(DecisionEvent::ProcessStop, m_core.loop.now(), {{fieldnames::Reason, "signal"}});
    m_core.loop.stop();
}

void AgentNode::reload(const NodeSettings &settings)
{
    m_core.settings = settings;
    const ServingBounds &bounds = settings.bounds;
    m_store.useServer(parseEndpoint(settings.storeAddress).value_or(Endpoint{}));
    m_desired.useSettings(FollowingSettings::forState(bounds), bounds.keyRevocation, m_core.loop.now());
    m_keeper.useBounds(bounds);
    useSpec();
    m_desiredDriver.advance();
    advance();
}

void AgentNode::useSpec()
{
    const ServingStatePtr &state = m_desired.state();
    const ServingPool *pool = state == nullptr ? nullptr : state->pool(m_core.settings.pool);
    if (pool != nullptr && pool->engine) {
        m_keeper.useSpec(*pool->engine);
    }
}

} // namespace celeryroute
