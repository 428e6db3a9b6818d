#include <celeryroute/detail/agent/agentloop.h>

#include <nlohmann/json.hpp>
#include <peer.pb.h>

namespace celeryroute {

namespace {

constexpr Duration BusyTick = std::chrono::milliseconds(10);
constexpr Duration IdleTick = std::chrono::milliseconds(100);
constexpr Duration StatusInterval = std::chrono::milliseconds(500);
/// Time for the last messages to be sent before the loop ends.
constexpr Duration ClosingTime = std::chrono::milliseconds(300);

proto::ModelResidency::Phase reportedPhase(ItemPhase phase)
{
    switch (phase) {
    case ItemPhase::Loading:
        return proto::ModelResidency::LOADING;
    case ItemPhase::Resident:
        return proto::ModelResidency::RESIDENT;
    case ItemPhase::Unloading:
    case ItemPhase::Unknown:
        return proto::ModelResidency::UNLOADING;
    case ItemPhase::Absent:
        break;
    }
    return proto::ModelResidency::ABSENT;
}

} // namespace

AgentLoop::AgentLoop(AgentSettings settings, AgentHooks hooks, TransportContext &context)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_gateway(context,
                m_settings.incarnation,
                [this] { return m_view.offset(); },
                {m_hooks.stampTime, m_hooks.observeTime})
    , m_residency(
          m_settings,
          m_client,
          [this] { refreshView(); },
          residencyObserver(),
          MonotonicClock::now())
    , m_monitor(m_settings,
                m_client,
                [this](TargetCondition before, TargetCondition condition) { targetProbed(before, condition); })
    , m_suspicions(m_gateway, m_settings.host, m_settings.incarnation)
    , m_attempts(AttemptDependencies{m_settings,
                                     m_client,
                                     m_gateway,
                                     m_residency.controller(),
                                     m_monitor,
                                     m_suspicions,
                                     [this](const AgentEvent &event) { emit(event); }})
    , m_releaser(m_settings.host, m_settings.incarnation, m_settings.pool)
    , m_isolation(MonotonicClock::now())
{}

ResidencyObserver AgentLoop::residencyObserver()
{
    ResidencyObserver observer;
    observer.ready = [this](const std::string &item) { m_attempts.itemReady(item, MonotonicClock::now()); };
    observer.failed = [this](const std::string &item, const Error &error) {
        m_attempts.itemFailed(item, error, MonotonicClock::now());
    };
    observer.loading = [this](const std::string &item, TimePoint expectedReady) {
        m_attempts.itemLoading(item, expectedReady, MonotonicClock::now());
    };
    observer.absent = [this](const std::string &item) { m_attempts.itemAbsent(item); };
    observer.released = [this](const ReleaseGrant &release) { m_releaser.add(release); };
    observer.loadSlotRequested = [this](const RequestLoadSlot &request) {
        m_residency.controller().grantSlot(request.item);
    };
    observer.event = [this](const AgentEvent &event) { emit(event); };
    return observer;
}

Result<void> AgentLoop::bind()
{
    return m_gateway.bind(m_settings.peerEndpoint);
}

std::string AgentLoop::endpoint() const
{
    return m_gateway.endpoint();
}

void AgentLoop::requestStop()
{
    m_stopRequested = true;
    m_client.wakeUp();
}

void AgentLoop::abort()
{
    m_aborted = true;
    m_client.wakeUp();
}

void AgentLoop::run()
{
    while (m_stage != Stage::Closed && !m_aborted) {
        const bool busy = m_attempts.live() > 0 || !m_residency.controller().hasStarted();
        m_client.poll(busy ? BusyTick : IdleTick, m_gateway.fd());
        receiveAll();
        step(MonotonicClock::now());
        // Sending clears the readiness of the socket, so messages that arrived in the meantime must be read here.
        receiveAll();
    }
}

void AgentLoop::refreshView()
{
    std::shared_ptr<const FleetState> state = m_hooks.state();
    if (state == m_view.state) {
        return;
    }
    m_view = makeAgentView(std::move(state), m_settings.host, m_settings.incarnation, m_settings.pool);
    m_attempts.updateView(m_view);
    m_residency.updateView(m_view);
    if (m_view.pool) {
        m_engine = m_view.pool->kind == PoolKind::Engine;
        m_monitor.setKind(m_view.pool->kind);
    }
}

void AgentLoop::receiveAll()
{
    while (const std::optional<PeerMessage> message = m_gateway.receive()) {
        handle(*message);
    }
}

void AgentLoop::handle(const PeerMessage &message)
{
    const proto::Envelope &envelope = *message.envelope;
    const TimePoint now = MonotonicClock::now();
    const bool stateIsAsNew = m_view.state && m_view.state->nextOffset() >= envelope.state_offset();
    if (envelope.has_heartbeat() && stateIsAsNew) {
        const Duration age = std::chrono::milliseconds(envelope.heartbeat().confirmed_age_ms());
        m_isolation.recordContact(now - age, now);
    }
    if (m_hooks.peerOffset) {
        m_hooks.peerOffset(envelope.sender(), envelope.state_offset());
    }
    switch (envelope.body_case()) {
    case proto::Envelope::kSubmit:
        refreshView();
        m_attempts.submit(message, now);
        break;
    case proto::Envelope::kCancel:
        m_attempts.cancel(envelope.cancel(), now);
        break;
    case proto::Envelope::kResume:
        m_attempts.resume(message.connection, envelope.resume());
        break;
    case proto::Envelope::kChunkAck:
        m_attempts.acknowledge(envelope.chunk_ack());
        break;
    case proto::Envelope::kSuspicion:
        m_suspicions.receive(envelope.suspicion(), now);
        break;
    case proto::Envelope::kHeartbeat:
        m_suspicions.peerSeen(message.connection, now);
        answerHeartbeat(message);
        break;
    default:
        answerOtherMessage(message);
    }
}

void AgentLoop::answerHeartbeat(const PeerMessage &message)
{
    proto::Envelope envelope;
    envelope.set_call(message.envelope->call());
    proto::HeartbeatReply *reply = envelope.mutable_heartbeat_reply();
    reply->set_sequence(message.envelope->heartbeat().sequence());
    reply->set_host(m_settings.host);
    reply->set_domain(m_settings.domain);
    reply->set_pool(m_settings.pool);
    reply->set_leaving(m_stage != Stage::Serving);
    reply->set_log_reachable(!m_hooks.logReachable || m_hooks.logReachable());
    fillLoad(*reply->mutable_load());
    m_gateway.send(message.connection, envelope);
}

void AgentLoop::answerOtherMessage(const PeerMessage &message)
{
    if (!m_hooks.otherMessage) {
        return;
    }
    std::optional<proto::Envelope> reply = m_hooks.otherMessage(*message.envelope);
    if (reply) {
        reply->set_call(message.envelope->call());
        m_gateway.send(message.connection, *reply);
    }
}

void AgentLoop::step(TimePoint now)
{
    refreshView();
    m_monitor.step(now);
    m_attempts.step(now);
    stepResidency(now);
    m_attempts.step(now);
    stepReleases(now);
    stepStop(now);
    if (now >= m_nextStatus) {
        m_nextStatus = now + StatusInterval;
        publishStatus();
        m_suspicions.expire(now);
    }
}

void AgentLoop::stepResidency(TimePoint now)
{
    if (!m_hooks.logReachable || m_hooks.logReachable()) {
        m_isolation.recordContact(now, now);
    }
    m_residency.controller().setTrust(m_isolation.step(now));
    if (m_engine) {
        m_residency.step(now);
    }
}

void AgentLoop::stepReleases(TimePoint now)
{
    const proto::AuthorityChange change = m_releaser.due(m_view, now);
    if (change.items_size() == 0 || !m_hooks.submitAuthorityChange) {
        return;
    }
    for (const proto::AuthorityItem &item : change.items()) {
        AgentEvent event;
        event.kind = AgentEventKind::GrantReleased;
        event.model = item.model();
        emit(event);
    }
    m_hooks.submitAuthorityChange(change);
}

void AgentLoop::stepStop(TimePoint now)
{
    if (m_stage == Stage::Serving && m_stopRequested) {
        m_stage = Stage::FinishingWork;
        m_stageDeadline = now + m_settings.stopTimeout;
        m_attempts.beginStopping();
        AgentEvent event;
        event.kind = AgentEventKind::Stopping;
        emit(event);
    }
    if (m_stage == Stage::FinishingWork && (m_attempts.live() == 0 || now >= m_stageDeadline)) {
        m_stage = Stage::ReleasingGrants;
        m_stageDeadline = now + m_settings.releaseTimeout;
        m_residency.controller().beginDrain();
    }
    if (m_stage == Stage::ReleasingGrants) {
        const LoadController &controller = m_residency.controller();
        const bool released = !m_engine || (controller.hasStarted() && controller.isDrained() && m_releaser.empty());
        if (released || now >= m_stageDeadline) {
            m_stage = Stage::Closing;
            m_stageDeadline = now + ClosingTime;
        }
    }
    if (m_stage == Stage::Closing && now >= m_stageDeadline) {
        m_stage = Stage::Closed;
    }
}

void AgentLoop::targetProbed(TargetCondition before, TargetCondition condition)
{
    const TimePoint now = MonotonicClock::now();
    if (before != condition) {
        AgentEvent event;
        event.kind = condition == TargetCondition::Alive ? AgentEventKind::TargetUp : AgentEventKind::TargetDown;
        emit(event);
    }
    if (condition != TargetCondition::Alive) {
        m_residency.controller().onTargetLost(now);
        m_attempts.targetLost(now);
    }
    m_attempts.targetProbed(condition, now);
}

void AgentLoop::fillLoad(proto::TargetLoad &load) const
{
    const LoadController &controller = m_residency.controller();
    m_attempts.report(load);
    load.set_tokens_per_second(m_monitor.tokensPerSecond());
    load.set_target_healthy(m_monitor.usable());
    load.set_memory_mb(controller.ledger().capacityMb());
    load.set_memory_used_mb(controller.ledger().usedMb());
    for (const auto &[item, entry] : controller.ledger().items()) {
        proto::ModelResidency *model = load.add_models();
        model->set_model(item);
        model->set_phase(reportedPhase(entry.phase));
        model->set_memory_mb(entry.memoryMb);
        model->set_expected_load_ms(static_cast<std::uint32_t>(toMilliseconds(controller.expectedLoadTime(item))));
    }
}

void AgentLoop::publishStatus()
{
    proto::TargetLoad load;
    fillLoad(load);
    nlohmann::json json = {{"role", "agent"},
                           {"host", m_settings.host},
                           {"domain", m_settings.domain},
                           {"incarnation", m_settings.incarnation},
                           {"pool", m_settings.pool},
                           {"offset", m_view.offset()},
                           {"stopping", m_stage != Stage::Serving},
                           {"target_healthy", load.target_healthy()},
                           {"running", load.running()},
                           {"queued", load.queued()},
                           {"memory_mb", load.memory_mb()},
                           {"memory_used_mb", load.memory_used_mb()}};
    json["models"] = nlohmann::json::array();
    for (const proto::ModelResidency &model : load.models()) {
        json["models"].push_back({{"model", model.model()},
                                  {"phase", proto::ModelResidency::Phase_Name(model.phase())},
                                  {"memory_mb", model.memory_mb()}});
    }
    std::set<std::string> held;
    for (const auto &[item, entry] : m_residency.controller().ledger().items()) {
        held.insert(item);
    }
    absl::MutexLock lock(&m_statusMutex);
    m_status = json.dump();
    m_heldItems = std::move(held);
}

std::set<std::string> AgentLoop::heldItems() const
{
    absl::MutexLock lock(&m_statusMutex);
    return m_heldItems;
}

std::string AgentLoop::statusJson() const
{
    absl::MutexLock lock(&m_statusMutex);
    return m_status;
}

void AgentLoop::emit(const AgentEvent &event)
{
    if (m_hooks.event) {
        m_hooks.event(event);
    }
}

} // namespace celeryroute
