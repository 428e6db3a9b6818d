#include <celeryroute/detail/node/agentnode.h>

#include <celeryroute/detail/keeper/declinereasons.h>
#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/node/peerchangelogger.h>
#include <celeryroute/detail/node/processgauges.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration EntryRetention = std::chrono::seconds(4);
constexpr Duration ReportTimeout = std::chrono::milliseconds(500);
constexpr Duration OrderTimeout = std::chrono::milliseconds(800);
constexpr Duration FenceTimeout = std::chrono::seconds(1);
constexpr Duration MinFenceBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxFenceBackoff = std::chrono::seconds(1);
/// Maximum number of entries listed in one message. The list may be incomplete, since entries also learn of each
/// other by gossip.
constexpr std::size_t MaxListedEntries = 32;

ModelControllerSettings controllerSettings(const NodeCore &core)
{
    ModelControllerSettings settings;
    settings.holder = core.settings.name;
    settings.bounds = core.settings.bounds;
    settings.started = core.loop.now();
    settings.startedMs = wallClockMs();
    settings.firstStart = core.settings.firstStart;
    return settings;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

LoadSource sourceOf(const TargetOrder &order, const LocalCopies &copies)
{
    if (!order.adapter.empty()) {
        return LoadSource::Adapter;
    }
    if (contains(copies.inMemory, order.model)) {
        return LoadSource::Memory;
    }
    return contains(copies.onDisk, order.model) ? LoadSource::Disk : LoadSource::Store;
}

} // namespace

AgentNode::AgentNode(NodeCore &core)
    : m_core(core)
    , m_store(core.loop, parseEndpoint(core.settings.storeAddress).value_or(Endpoint{}))
    , m_target(core.loop, parseEndpoint(core.settings.targetAddress).value_or(Endpoint{}))
    , m_era(core.translation.headers.storeEra,
            core.log,
            core.metrics,
            [this](TimePoint now) {
                m_desired.beginEra(now);
                m_core.loop.defer([this] { m_desiredDriver.advance(); });
            })
    , m_desired(TopicFollowerSettings::forState(core.settings.bounds),
                core.settings.bounds.keyRevocation,
                core.translation.servingState,
                core.seed)
    , m_desiredDriver(core.loop,
                      m_store,
                      core.translation,
                      core.metrics,
                      m_era,
                      StoreMonitor(core.log, FeedTopic::Desired, core.started),
                      {[this](TimePoint now) { return m_desired.next(now); },
                       [this](FeedAnswer answer, TimePoint began, TimePoint now) {
                           applyDesired(m_desired.answered(std::move(answer), began, now));
                       },
                       [this](TimePoint now) { m_desired.timedOut(now); }})
    , m_controller(controllerSettings(core))
    , m_peers(core.loop,
              core.settings.ip,
              core.incarnation,
              [this](const Endpoint &, const wire::Envelope &envelope) { handleMessage(envelope); })
    , m_entries(EntryRetention, peerChangeLogger(core, "entry"))
    , m_fenceBackoff(MinFenceBackoff, MaxFenceBackoff, core.seed)
    , m_metrics(core, [this] { return gauges(); })
    , m_targetHeardAt(core.started)
    , m_fenceMonitor(core.log, FeedTopic::Fences, core.started)
{}

AgentNode::~AgentNode()
{
    m_core.loop.cancel(m_reportTimer);
    m_core.loop.cancel(m_publishTimer);
}

Result<void> AgentNode::start()
{
    BOOST_LEAF_CHECK(m_peers.open({parseIp(m_core.settings.ip).value_or(0), m_core.settings.firstPeerPort}));
    m_metrics.listen();
    m_desiredDriver.advance();
    acquireFencingToken();
    readReport();
    return {};
}

void AgentNode::applyDesired(const std::vector<DesiredStateEvent> &events)
{
    for (const DesiredStateEvent &event : events) {
        if (const auto *unreadable = std::get_if<StateUnreadable>(&event)) {
            m_core.log.write(
                DecisionEvent::StateRejected,
                m_core.loop.now(),
                {{"offset", unreadable->offset},
                 {fieldnames::StateVersion, m_desired.state() == nullptr ? 0 : m_desired.state()->version}});
        }
        const auto *changed = std::get_if<StateChanged>(&event);
        if (changed == nullptr) {
            continue; // Entries send nothing to evacuated targets, so their agents have nothing to decide.
        }
        const ServingState &state = *changed->state;
        m_core.log.write(DecisionEvent::StateApplied,
                         m_core.loop.now(),
                         {{fieldnames::StateVersion, state.version},
                          {"offset", changed->offset},
                          {"routes", state.routes.size()},
                          {"pools", state.pools.size()},
                          {"customers", state.customers.size()}});
        useSpec();
    }
    advance();
}

// The fencing token is derived from the store's era and the log offset of a newly appended record, so it is higher
// than the tokens of all earlier agents. Offsets alone are given out again when the store comes back from a copy.
void AgentNode::acquireFencingToken()
{
    const FeedCall call = AppendRecord{FeedTopic::Fences, m_core.settings.name};
    m_store.call(m_core.translation.feedCall(call),
                 FenceTimeout,
                 [this, call](const MessageHead &head, const std::string &body) {
                     const bool usable = head.status != 0 && m_era.accept(head, m_core.loop.now());
                     const FeedAnswer answer = usable ? m_core.translation.feedAnswer(call, head.status, body)
                                                      : FeedAnswer(FeedUnavailable{0});
                     m_core.metrics.countStoreCall(StoreCallKind::Append,
                                                   std::holds_alternative<RecordAppended>(answer)
                                                       ? StoreCallOutcome::Answered
                                                       : StoreCallOutcome::Lost);
                     m_fenceMonitor.noteAnswer(answer, m_core.loop.now());
                     if (const auto *appended = std::get_if<RecordAppended>(&answer)) {
                         const std::uint64_t fence = fencingToken(m_era.era(), appended->offset);
                         m_core.log.write(DecisionEvent::AgentFenced,
                                          m_core.loop.now(),
                                          {{fieldnames::Target, m_instance},
                                           {"fence", fence},
                                           {fieldnames::Message, m_peers.nextSequence()}});
                         m_controller.setFence(fence);
                         advance();
                         return;
                     }
                     m_core.loop.at(m_core.loop.now() + m_fenceBackoff.failed(), [this] { acquireFencingToken(); });
                 });
}

void AgentNode::handleMessage(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    const bool known = m_entries.peers().contains(envelope.sender());
    if (!envelope.has_usage()
        || !m_entries.recordMessage(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)) {
        return;
    }
    if (envelope.usage().instance() != m_instance || envelope.usage().successor() != m_successor) {
        m_instance = envelope.usage().instance();
        m_successor = envelope.usage().successor();
        m_controller.setInstance(m_instance, m_successor);
    }
    m_core.metrics.countMissingDatagrams(
        PeerRole::Entry,
        m_entries.recordDatagram(envelope.sender(), envelope.incarnation(), envelope.datagram()));
    m_lastDemand = HeardMessage{envelope.incarnation(), envelope.sequence()};
    m_controller.noteUsage(envelope.sender(), readDemand(envelope.usage()), now);
    advance();
    const std::uint64_t state = envelope.usage().state();
    // The state lists the entries, which share budgets only once they know of each other.
    if (!known || (state != stateNumber() && m_publication.needsState(state, now))) {
        sendState({envelope.sender()});
    }
}

void AgentNode::advance()
{
    const TimePoint now = m_core.loop.now();
    if (const auto order = m_controller.nextOrder(now)) {
        sendOrder(*order);
    }
    logDeclined();
    publish();
    scheduleReport();
}

void AgentNode::scheduleReport()
{
    if (m_isReadingReport) {
        return;
    }
    const TimePoint due = m_controller.nextReportAt(m_core.loop.now());
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
    if (m_isReadingReport) {
        return;
    }
    m_isReadingReport = true;
    const TimePoint began = m_core.loop.now();
    m_target.call(m_core.translation.reportCall,
                  ReportTimeout,
                  [this, began](const MessageHead &head, const std::string &body) { handleReport(head, body, began); });
}

void AgentNode::handleReport(const MessageHead &head, const std::string &body, TimePoint began)
{
    m_isReadingReport = false;
    const TimePoint now = m_core.loop.now();
    auto report = head.status == 0 ? std::nullopt : m_core.translation.targetReport(body);
    noteTargetAnswers(report.has_value());
    if (report) {
        report->leaving = head.field(m_core.translation.headers.leaving) != nullptr;
        m_controller.noteReport(*report, began, now);
    } else {
        m_controller.noteUnreachable(now);
    }
    advance();
}

void AgentNode::noteTargetAnswers(bool answers)
{
    const TimePoint now = m_core.loop.now();
    if (m_targetAnswers != answers && answers) {
        m_core.log.write(DecisionEvent::TargetRegained,
                         now,
                         {{fieldnames::Target, m_instance},
                          {"born_ms", m_controller.status(now).bornMs},
                          {"lost_ms", now - m_targetHeardAt},
                          {fieldnames::Message, m_peers.nextSequence()}});
    } else if (m_targetAnswers != answers) {
        m_core.log.write(DecisionEvent::TargetLost,
                         now,
                         {{fieldnames::Target, m_instance},
                          {"silent_ms", now - m_targetHeardAt},
                          {fieldnames::Message, m_peers.nextSequence()}});
    }
    m_targetAnswers = answers;
    m_targetHeardAt = answers ? now : m_targetHeardAt;
}

void AgentNode::logDeclined()
{
    const TimePoint now = m_core.loop.now();
    for (const DeclineNotice &notice : m_declined.update(m_controller.declined(), now)) {
        m_core.log.write(DecisionEvent::AgentDeclined,
                         now,
                         {{fieldnames::Target, m_instance},
                          {fieldnames::Item, notice.declined.item},
                          {fieldnames::Reason, notice.declined.reason},
                          {"count", notice.count},
                          {fieldnames::Message, m_peers.nextSequence()},
                          {fieldnames::HeardIncarnation, incarnationOf(m_lastDemand)},
                          {fieldnames::HeardMessage, messageOf(m_lastDemand)}});
    }
}

void AgentNode::sendOrder(const TargetOrder &order)
{
    const TimePoint now = m_core.loop.now();
    const bool load = order.kind == OrderKind::Load;
    m_core.log.write(
        DecisionEvent::AgentOrder,
        now,
        {{fieldnames::Target, order.instance},
         {"operation", labelValue(order.kind)},
         {fieldnames::Item, toString(itemOf(order))},
         {"source", load ? std::optional(labelValue(sourceOf(order, m_controller.copies()))) : std::nullopt},
         {"sequence", order.expectedSequence},
         {"fence", order.fence},
         {"report_age_ms", now - m_controller.lastRead()},
         {fieldnames::Message, m_peers.nextSequence()},
         {fieldnames::HeardIncarnation, incarnationOf(m_lastDemand)},
         {fieldnames::HeardMessage, messageOf(m_lastDemand)}});
    OutgoingRequest call = m_core.translation.orderCall(order);
    call.fields.push_back({m_core.translation.headers.instance, order.instance});
    // Answers to orders and reports bear no id that would tell a late copy of an earlier one from the order's own.
    m_target.call(
        call,
        OrderTimeout,
        [this, order, now](const MessageHead &head, const std::string &) { handleOrderAnswer(order, head, now); },
        AsyncHttpClient::Connection::Own);
}

void AgentNode::handleOrderAnswer(const TargetOrder &order, const MessageHead &head, TimePoint sentAt)
{
    OrderAnswer outcome = head.status == 0 ? OrderAnswer::InDoubt : m_core.translation.orderOutcome(head.status);
    if (outcome == OrderAnswer::InDoubt && head.field(m_core.translation.headers.notRun) != nullptr) {
        outcome = OrderAnswer::Rejected;
    }
    m_core.metrics.countOrder(order.kind, outcome);
    if (order.kind == OrderKind::Load && outcome == OrderAnswer::Accepted) {
        m_core.metrics.countLoad(sourceOf(order, m_controller.copies()));
    } else if (outcome == OrderAnswer::Accepted && order.adapter.empty()) {
        m_core.metrics.countSwap();
    }
    m_core.log.write(DecisionEvent::AgentOutcome,
                     m_core.loop.now(),
                     {{fieldnames::Target, order.instance},
                      {"operation", labelValue(order.kind)},
                      {fieldnames::Item, toString(itemOf(order))},
                      {"outcome", labelValue(outcome)},
                      {"status", head.status},
                      {"took_ms", m_core.loop.now() - sentAt},
                      {fieldnames::Message, m_peers.nextSequence()}});
    m_controller.noteOutcome(order, outcome, m_core.loop.now());
    advance();
}

void AgentNode::publish()
{
    const TimePoint now = m_core.loop.now();
    const TargetStatus status = m_controller.status(now);
    const Publication publication = m_publication.due(status, stateNumber(), m_entries.peers().size(), now);
    switch (publication) {
    case Publication::None:
        break;
    case Publication::Load:
        sendLoad();
        break;
    case Publication::State:
        sendState(m_controller.waitingEntries(now));
        break;
    case Publication::StateToAll:
        m_entries.removeSilent(now);
        sendState(m_entries.addresses());
        break;
    }
    m_publication.notePublished(publication, status, stateNumber(), now);
    schedulePublish();
}

void AgentNode::schedulePublish()
{
    const TimePoint due = m_publication.changeDue(stateNumber(), m_entries.peers().size());
    if (due == TimePoint::max() || (m_publishTimer != 0 && m_publishAt == due)) {
        return;
    }
    m_core.loop.cancel(m_publishTimer);
    m_publishAt = due;
    m_publishTimer = m_core.loop.at(due, [this] {
        m_publishTimer = 0;
        publish();
    });
}

void AgentNode::sendState(const std::vector<std::string> &entries)
{
    if (m_instance.empty() || entries.empty()) {
        return;
    }
    wire::Envelope envelope;
    wire::AgentState &state = *envelope.mutable_agent();
    writeView(m_controller.status(m_core.loop.now()), state);
    state.set_state(stateNumber());
    for (const std::string &address : m_entries.nextSenders(MaxListedEntries)) {
        state.add_entries(address);
    }
    const std::size_t bytes = m_peers.sendToAll(entries, m_core.settings.firstPeerPort, envelope);
    m_core.metrics.countPeerMessages(PeerMessageKind::AgentState, entries.size(), bytes);
}

void AgentNode::sendLoad()
{
    if (m_instance.empty() || m_entries.peers().empty()) {
        return;
    }
    wire::Envelope envelope;
    writeLoad(m_controller.status(m_core.loop.now()), *envelope.mutable_load());
    envelope.mutable_load()->set_state(stateNumber());
    const std::size_t bytes = m_peers.sendToAll(m_entries.addresses(), m_core.settings.firstPeerPort, envelope);
    m_core.metrics.countPeerMessages(PeerMessageKind::AgentLoad, m_entries.peers().size(), bytes);
}

// A later agent of the same target has a higher incarnation, so its states have higher numbers.
std::uint64_t AgentNode::stateNumber() const
{
    return m_core.incarnation + m_controller.stateVersion();
}

ServingGauges AgentNode::gauges() const
{
    const TimePoint now = m_core.loop.now();
    const TargetStatus status = m_controller.status(now);
    ServingGauges gauges = processGauges(m_core);
    if (m_desired.state() != nullptr) {
        gauges.stateVersion = m_desired.state()->version;
    }
    gauges.stateAge = ageOf(m_desired.follower(), now);
    gauges.queuedRequests = status.queued;
    gauges.runningRequests = status.active;
    gauges.targetConnections = m_target.connections();
    gauges.storeConnections = m_store.connections();
    gauges.peers = m_entries.presentCount();
    gauges.storeLoads = storeLoadGauge(now);
    return gauges;
}

StoreLoadGauge AgentNode::storeLoadGauge(TimePoint now) const
{
    const WaitingModels waiting = m_declined.waitingModels(declinereasons::StoreRate, now);
    const StoreLoadShare &share = m_controller.storeLoadShare();
    StoreLoadGauge gauge;
    gauge.granted = share.grantedRate(now);
    gauge.used = share.usedRate(now);
    gauge.wanted = share.rateOf(share.recentLoads(now) + waiting.count);
    gauge.waitingModels = waiting.count;
    gauge.longestWait = waiting.longestWait;
    return gauge;
}

void AgentNode::beginStop()
{
    m_core.log.write(DecisionEvent::ProcessStop,
                     m_core.loop.now(),
                     {{fieldnames::Reason, "signal"}, {"uptime_ms", m_core.loop.now() - m_core.started}});
    m_core.loop.stop();
}

void AgentNode::reload(const NodeSettings &settings)
{
    m_core.settings = settings;
    const ServingBounds &bounds = settings.bounds;
    m_store.useServer(parseEndpoint(settings.storeAddress).value_or(Endpoint{}));
    m_desired.useSettings(TopicFollowerSettings::forState(bounds), bounds.keyRevocation, m_core.loop.now());
    m_controller.setBounds(bounds);
    useSpec();
    m_desiredDriver.advance();
    advance();
}

void AgentNode::useSpec()
{
    const ServingStatePtr &state = m_desired.state();
    const ServingPool *pool = state == nullptr ? nullptr : state->pool(m_core.settings.pool);
    if (pool != nullptr && pool->engine) {
        m_controller.setSpec(*pool->engine);
    }
}

} // namespace celeryroute
