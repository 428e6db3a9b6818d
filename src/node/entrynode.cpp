#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/node/peerchangelogger.h>
#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration AgentRetention = std::chrono::seconds(30);
/// Time for which an entry accepts connections after the start of its shutdown. The load balancer checks
/// readiness once a second and sends no more callers after two failed checks.
constexpr Duration LeaveRotationTime = std::chrono::milliseconds(2200);
constexpr Duration StopPoll = std::chrono::milliseconds(50);
/// All calls are ended this long before the process is killed.
constexpr Duration CallEndReserve = std::chrono::milliseconds(600);
/// The event loop is stopped this long before the process is killed.
constexpr Duration StopReserve = std::chrono::milliseconds(300);

Endpoint endpointOf(const std::string &text)
{
    return parseEndpoint(text).value_or(Endpoint{});
}

AnswerBounds answerBounds(const ServingBounds &bounds)
{
    constexpr std::size_t Kibibyte = 1024;
    return {bounds.maxAnswerKb * Kibibyte, bounds.maxEventKb * Kibibyte, bounds.maxAnswersMb * Kibibyte * Kibibyte};
}

std::size_t heldBytes(const NodeSettings &settings)
{
    constexpr std::uint64_t Mebibyte = std::uint64_t{1024} * 1024;
    constexpr std::uint64_t Share = 4; // Answers of targets may take half.
    return settings.maxHeldMb > 0 ? settings.maxHeldMb * Mebibyte : settings.memoryLimitMb * Mebibyte / Share;
}

std::size_t sharedDescriptors(const NodeSettings &settings)
{
    // 15 at rest, 8 each for readiness and metrics, 8 of connections that are about to be closed, and some to spare.
    constexpr std::size_t Reserve = 48;
    constexpr std::size_t Least = 8;
    return settings.maxDescriptors == 0 ? SIZE_MAX
                                        : std::max<std::size_t>(settings.maxDescriptors, Reserve + Least) - Reserve;
}

} // namespace

EntryNode::EntryNode(NodeCore &core)
    : m_core(core)
    , m_peerEndpoint{parseIp(core.settings.ip).value_or(0), core.settings.firstPeerPort}
    , m_store(core.loop, endpointOf(core.settings.storeAddress))
    , m_era(
          core.translation.headers.storeEra,
          core.log,
          core.metrics,
          [this](TimePoint now) {
              m_desired.beginEra(now);
              m_targets.beginEra(now);
              m_versionRecord.beginEra(now);
              beginEra();
              m_core.loop.defer([this] {
                  m_desiredDriver.advance();
                  m_targetsDriver.advance();
                  m_versionDriver.advance();
              });
          },
          [this] {
              if (m_era.era() > 0) {
                  m_desired.beginUnknownEra();
                  beginEra();
              }
          })
    , m_desired(TopicFollowerSettings::forKeys(core.settings.bounds),
                core.settings.bounds.keyRevocation,
                core.translation.servingState,
                core.seed,
                core.translation.evacuation)
    , m_targets(TopicFollowerSettings::forTargets(core.settings.bounds),
                core.settings.heartbeat,
                core.translation.targetRecord,
                core.seed)
    , m_keys(m_desired, core.log)
    , m_allowances(core.settings.ip, core.incarnation, core.settings.bounds, core.loop.now())
    , m_retries(core.settings.bounds, m_allowances.members())
    , m_admission(m_keys, m_allowances, m_retries)
    , m_targetTable(core.settings.name, core.settings.domain)
    , m_gateway({core.loop, core.translation.headers, m_targetTable, m_admission, core.log, core.metrics},
                core.seed,
                [this](const std::string &target, bool urgent) { m_demand.changed(target, urgent); })
    , m_limits(core.settings.ip, core.loop.now(), m_targetTable.limits())
    , m_crashes(core.settings.ip, core.incarnation)
    , m_demand(core.loop, [this](const std::string &target) { return sendDemand(target); })
    , m_peers(core.loop,
              core.settings.ip,
              core.incarnation,
              [this](const Endpoint &, const wire::Envelope &envelope) { handleMessage(envelope); })
    , m_agentPeers(AgentRetention, peerChangeLogger(core, "agent"))
    , m_entryPeers(ReportTiming().memberTimeout, peerChangeLogger(core, "entry"))
    , m_agents(core.settings.firstPeerPort)
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
                       [this](TimePoint now) {
                           m_desired.timedOut(now);
                           m_targets.storeFailed();
                           m_keys.areKeysFresh(now);
                       }})
    , m_targetsDriver(core.loop,
                      m_store,
                      core.translation,
                      core.metrics,
                      m_era,
                      StoreMonitor(core.log, FeedTopic::Targets, core.started),
                      {[this](TimePoint now) { return m_targets.next(now); },
                       [this](FeedAnswer answer, TimePoint began, TimePoint now) {
                           applyTargets(m_targets.answered(std::move(answer), began, now));
                       },
                       [this](TimePoint now) { m_targets.timedOut(now); }})
    , m_eraRecord(TopicFollowerSettings::forState(core.settings.bounds),
                  core.seed,
                  [this](TimePoint now) { return m_desired.isRewritten(now) && isWriter("era"); })
    , m_eraDriver(core.loop,
                  m_store,
                  core.translation,
                  core.metrics,
                  m_era,
                  StoreMonitor(core.log, FeedTopic::Eras, core.started),
                  {[this](TimePoint now) { return m_eraRecord.next(now); },
                   [this](const FeedAnswer &answer, TimePoint began, TimePoint now) {
                       m_eraRecord.answered(answer, began, now);
                       noteSettledEra(now);
                   },
                   [this](TimePoint now) { m_eraRecord.timedOut(now); }})
    , m_versionRecord(TopicFollowerSettings::forState(core.settings.bounds),
                      core.seed,
                      m_targetTable.versions(),
                      StreamOrigins::Retention,
                      [this](const std::string &key) { return isWriter(key); })
    , m_versionDriver(core.loop,
                      m_store,
                      core.translation,
                      core.metrics,
                      m_era,
                      StoreMonitor(core.log, FeedTopic::Versions, core.started),
                      {[this](TimePoint now) { return m_versionRecord.next(now); },
                       [this](const FeedAnswer &answer, TimePoint began, TimePoint now) {
                           for (const VersionRecordEvent &event : m_versionRecord.answered(answer, began, now)) {
                               std::visit([this](const auto &change) { log(change); }, event);
                           }
                       },
                       [this](TimePoint now) { m_versionRecord.timedOut(now); }})
    , m_readiness(
          core.loop,
          core.translation.readinessPath,
          [this] { return reportReadiness(); },
          [this](const std::string &path) { return m_metrics.textFor(path); })
    , m_metrics(core, [this] { return gauges(); })
{}

EntryNode::~EntryNode()
{
    m_core.loop.cancel(m_gossipTimer);
    m_core.loop.cancel(m_limitsTimer);
    m_core.loop.cancel(m_streamsTimer);
    m_core.loop.cancel(m_expiryTimer);
}

Result<void> EntryNode::start()
{
    m_gateway.suspects().setHeartbeatInterval(m_core.settings.heartbeat);
    m_gateway.useMaxTargetPause(m_core.settings.bounds.maxTargetPause);
    m_gateway.useAllowanceWait(m_core.settings.bounds.allowanceWait);
    m_gateway.useRankedGap(m_core.settings.bounds.rankedGap);
    m_gateway.answerBuffers().useBounds(answerBounds(m_core.settings.bounds));
    m_gateway.limitCallers(heldBytes(m_core.settings), sharedDescriptors(m_core.settings));
    BOOST_LEAF_CHECK(m_peers.open(m_peerEndpoint));
    BOOST_LEAF_CHECK(m_gateway.listen(endpointOf(m_core.settings.listenAddress)));
    BOOST_LEAF_CHECK(m_readiness.listen(endpointOf(m_core.settings.readinessAddress)));
    m_metrics.listen();
    m_desiredDriver.advance();
    m_targetsDriver.advance();
    m_versionDriver.advance();
    m_gateway.useMessageNumbers([this] { return m_peers.nextSequence(); });
    m_gateway.useEarlierVersions(
        [this](const std::string &pool, Duration lifetime) { return earlierVersions(pool, lifetime); });
    m_gateway.useLimitExchange([this] { advanceLimitsSoon(); });
    scheduleGossip();
    scheduleStreams();
    // The next report on spent tokens may be due earlier because of the calls in this event loop iteration.
    m_core.loop.atTurnEnd([this] {
        if (m_allowances.reportDue() < m_gossipAt) {
            scheduleGossip();
        }
    });
    return {};
}

void EntryNode::applyDesired(const std::vector<DesiredStateEvent> &events)
{
    for (const DesiredStateEvent &event : events) {
        std::visit([this](const auto &change) { apply(change); }, event);
    }
    m_keys.areKeysFresh(m_core.loop.now());
    if (m_desired.follower().isFailing()) {
        m_targets.storeFailed();
    } else {
        m_targets.storeAnswered(m_core.loop.now());
    }
}

void EntryNode::apply(const StateChanged &event)
{
    const ServingState &state = *event.state;
    m_core.log.write(DecisionEvent::StateApplied,
                     m_core.loop.now(),
                     {{fieldnames::StateVersion, state.version},
                      {"offset", event.offset},
                      {"routes", state.routes.size()},
                      {"pools", state.pools.size()},
                      {"customers", state.customers.size()}});
    const bool isFirst = m_gateway.table() == nullptr;
    m_gateway.setState(event.state);
    if (isFirst) {
        m_targetTable.noteColdRecords(m_core.loop.now());
    }
    m_allowances.setCustomers(state.customers, m_core.loop.now());
    useStreamPools(state);
    for (const auto &[id, record] : m_targets.targets()) {
        addAgent(record);
    }
}

void EntryNode::apply(const StateUnreadable &event)
{
    m_core.log.write(DecisionEvent::StateRejected,
                     m_core.loop.now(),
                     {{"offset", event.offset},
                      {fieldnames::StateVersion, m_desired.state() == nullptr ? 0 : m_desired.state()->version}});
}

void EntryNode::applyTargets(const std::vector<TargetEvent> &events)
{
    // Waiting calls are checked once for all events, since the first read delivers thousands of events.
    std::set<std::string> changed;
    for (const TargetEvent &event : events) {
        const ChangedModels models = std::visit([this](const auto &change) { return apply(change); }, event);
        changed.insert(models.begin(), models.end());
    }
    if (!events.empty()) {
        m_gateway.targetsChanged(ChangedModels(changed.begin(), changed.end()));
        scheduleStreams();
        m_versionRecord.versionsChanged();
    }
    if (const auto confirmed = m_targets.follower().confirmedAt()) {
        m_targetTable.confirmRecords(*confirmed);
    }
    noteRegistryRead();
    scheduleExpiry();
}

void EntryNode::scheduleExpiry()
{
    m_core.loop.cancel(m_expiryTimer);
    m_expiryTimer = 0;
    if (const auto due = m_targets.nextExpiry()) {
        m_expiryTimer = m_core.loop.at(*due, [this] {
            m_expiryTimer = 0;
            applyTargets(m_targets.expire(m_core.loop.now()));
        });
    }
}

ChangedModels EntryNode::apply(const TargetChanged &event)
{
    const TargetRecord &record = event.record;
    const KnownTarget *before = m_targetTable.target(record.id);
    const bool known = before != nullptr && before->registered;
    if (!known) {
        m_core.log.write(DecisionEvent::TargetAdded,
                         m_core.loop.now(),
                         {{fieldnames::Target, record.id},
                          {"pool", record.pool},
                          {"address", record.address},
                          {"born_ms", record.bornMs},
                          {"offset", event.offset}});
    }
    if (record.draining && !(known && before->record.draining)) {
        m_core.log.write(DecisionEvent::TargetDraining,
                         m_core.loop.now(),
                         {{fieldnames::Target, record.id},
                          {"pool", record.pool},
                          {"address", record.address},
                          {"offset", event.offset},
                          {"remaining_ms", record.remaining}});
    }
    m_agents.noteTarget(record);
    addAgent(record);
    const std::int64_t bornMs = birthTime(record.id);
    const ChangedModels changed = m_targetTable.setRecord(record, m_core.loop.now());
    reportRestart(record.id, bornMs);
    return changed;
}

std::int64_t EntryNode::birthTime(const std::string &target) const
{
    const KnownTarget *known = m_targetTable.target(target);
    return known == nullptr ? 0 : known->bornMs;
}

// A target that restarts with the same id does not leave the registry, so its restart is detected here.
void EntryNode::reportRestart(const std::string &target, std::int64_t bornBefore)
{
    if (bornBefore != 0 && birthTime(target) != bornBefore) {
        m_gateway.targetDied(target);
        logLimitOfEarlierLifetime(target);
    }
}

ChangedModels EntryNode::apply(const TargetRemoved &event)
{
    const KnownTarget *known = m_targetTable.target(event.id);
    m_core.log.write(DecisionEvent::TargetRemoved,
                     m_core.loop.now(),
                     {{fieldnames::Target, event.id},
                      {"pool", known == nullptr ? std::string_view() : std::string_view(known->record.pool)},
                      {"offset", event.offset}});
    m_gateway.targetDied(event.id);
    m_agents.forgetTarget(event.id);
    m_demand.remove(event.id);
    return m_targetTable.removeRecord(event.id, m_core.loop.now());
}

// Orders to the target that is gone do not reach its successor, so its agent need not wait for them.
ChangedModels EntryNode::apply(const TargetSucceeded &event)
{
    m_agents.noteSuccessor(event.successor);
    return {};
}

bool EntryNode::isReady() const
{
    const bool keysNeeded = m_gateway.table() != nullptr && m_gateway.table()->needsKeys();
    return !m_stopBegan && m_gateway.table() != nullptr && m_targets.follower().isComplete()
        && (!keysNeeded || m_desired.freshness().areKeyedCallsAllowed(bootTimeNow()));
}

bool EntryNode::reportReadiness()
{
    m_keys.areKeysFresh(bootTimeNow());
    const bool now = isReady();
    if (now && !m_wasReady) {
        m_core.log.write(DecisionEvent::ProcessReady,
                         m_core.loop.now(),
                         {{"after_ms", m_core.loop.now() - m_core.started},
                          {fieldnames::StateVersion, m_gateway.table()->state().version},
                          {"targets", m_targets.targets().size()}});
    } else if (!now && m_wasReady) {
        m_core.log.write(DecisionEvent::ProcessUnready, m_core.loop.now(), {{fieldnames::Reason, reasons::KeysStale}});
    }
    m_wasReady = now;
    return now;
}

void EntryNode::beginStop()
{
    if (m_stopBegan) {
        return;
    }
    m_stopBegan = m_core.loop.now();
    m_gateway.beginStop(*m_stopBegan + m_core.settings.bounds.stopGrace - CallEndReserve);
    m_wasReady = false;
    m_core.log.write(DecisionEvent::ProcessUnready, m_core.loop.now(), {{fieldnames::Reason, "stop"}});
    advanceStop();
}

void EntryNode::advanceStop()
{
    const Duration since = m_core.loop.now() - *m_stopBegan;
    const bool isStopDue = since >= m_core.settings.bounds.stopGrace - StopReserve;
    const bool outOfRotation = since >= LeaveRotationTime;
    if (outOfRotation) {
        m_gateway.stopAccepting();
    }
    if (since >= m_core.settings.bounds.stopGrace / 2) {
        m_gateway.endWaitingCalls();
    }
    if (since >= m_core.settings.bounds.stopGrace - CallEndReserve) {
        m_gateway.endAllCalls();
    }
    if ((outOfRotation && m_gateway.callsInProgress() == 0 && m_gateway.callersConnected() == 0) || isStopDue) {
        m_core.log.write(DecisionEvent::ProcessStop,
                         m_core.loop.now(),
                         {{fieldnames::Reason, "signal"},
                          {"in_work", m_gateway.callsInProgress()},
                          {"uptime_ms", m_core.loop.now() - m_core.started}});
        m_core.loop.stop();
        return;
    }
    m_core.loop.at(m_core.loop.now() + StopPoll, [this] { advanceStop(); });
}

void EntryNode::reload(const NodeSettings &settings)
{
    m_core.settings = settings;
    const ServingBounds &bounds = settings.bounds;
    const TimePoint now = m_core.loop.now();
    m_store.useServer(endpointOf(settings.storeAddress));
    m_desired.useSettings(TopicFollowerSettings::forKeys(bounds), bounds.keyRevocation, now);
    m_targets.useSettings(TopicFollowerSettings::forTargets(bounds, m_allowances.members().memberCount()),
                          settings.heartbeat,
                          now);
    const ServingStatePtr &state = m_desired.state();
    m_allowances.useBounds(bounds, state == nullptr ? std::vector<ServingCustomer>() : state->customers, now);
    m_retries.useBounds(bounds);
    m_gateway.suspects().setHeartbeatInterval(settings.heartbeat);
    m_gateway.useMaxTargetPause(bounds.maxTargetPause);
    m_gateway.useAllowanceWait(bounds.allowanceWait);
    m_gateway.useRankedGap(bounds.rankedGap);
    m_gateway.answerBuffers().useBounds(answerBounds(bounds));
    m_gateway.limitCallers(heldBytes(settings), sharedDescriptors(settings));
    m_desiredDriver.advance();
    m_targetsDriver.advance();
}

} // namespace celeryroute
