#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/net/clock.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/placement/agentstateview.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration AgentMemory = std::chrono::seconds(30);
/// The balancer asks once a second and stops sending callers after two refusals.
constexpr Duration LeaveRotationTime = std::chrono::milliseconds(2200);
constexpr Duration StopPoll = std::chrono::milliseconds(50);
constexpr Duration LastAnswers = std::chrono::milliseconds(600); ///< Before the process is killed.
constexpr Duration StopReserve = std::chrono::milliseconds(300); ///< Before the process is killed.

Endpoint endpointOf(const std::string &text)
{
    return parseEndpoint(text).value_or(Endpoint{});
}

} // namespace

EntryNode::EntryNode(NodeCore &core)
    : m_core(core)
    , m_peerEndpoint{parseIp(core.settings.ip).value_or(0), core.settings.firstPeerPort}
    , m_store(core.loop, endpointOf(core.settings.storeAddress))
    , m_desired(FollowingSettings::forKeys(core.settings.bounds),
                core.settings.bounds.keyRevocation,
                core.translation.servingState,
                core.seed)
    , m_targets(FollowingSettings::forTargets(core.settings.bounds),
                core.settings.heartbeat,
                core.translation.targetRecord,
                core.seed)
    , m_allowances(core.settings.ip, core.incarnation, core.settings.bounds, core.loop.now())
    , m_retries(core.settings.bounds, m_allowances.members())
    , m_admission(m_desired.freshness(), m_allowances, m_retries)
    , m_book(core.settings.name, core.settings.domain)
    , m_gateway({core.loop, core.translation.headers, m_book, m_admission, core.log, core.metrics},
                core.seed,
                [this](const std::string &target, bool urgent) { m_demand.changed(target, urgent); })
    , m_demand(core.loop, [this](const std::string &target) { return sendDemand(target); })
    , m_peers(core.loop,
              core.settings.ip,
              core.incarnation,
              [this](const Endpoint &, const wire::Envelope &envelope) { received(envelope); })
    , m_agentsHeard(AgentMemory)
    , m_desiredDriver(core.loop,
                      m_store,
                      core.translation,
                      core.metrics,
                      {[this](TimePoint now) { return m_desired.next(now); },
                       [this](FeedAnswer answer, TimePoint began, TimePoint now) {
                           takeDesired(m_desired.answered(std::move(answer), began, now));
                       },
                       [this](TimePoint now) {
                           m_desired.timedOut(now);
                           m_targets.storeFailed();
                       }})
    , m_targetsDriver(core.loop,
                      m_store,
                      core.translation,
                      core.metrics,
                      {[this](TimePoint now) { return m_targets.next(now); },
                       [this](FeedAnswer answer, TimePoint began, TimePoint now) {
                           takeTargets(m_targets.answered(std::move(answer), began, now));
                       },
                       [this](TimePoint now) { m_targets.timedOut(now); }})
    , m_readiness(
          core.loop,
          core.translation.readinessPath,
          [this] { return ready(); },
          [this](const std::string &path) { return m_metrics.textFor(path); })
    , m_metrics(core, [this] { return gauges(); })
{}

EntryNode::~EntryNode()
{
    m_core.loop.cancel(m_gossipTimer);
    m_core.loop.cancel(m_expiryTimer);
}

Result<void> EntryNode::start()
{
    BOOST_LEAF_CHECK(m_peers.open(m_peerEndpoint));
    BOOST_LEAF_CHECK(m_gateway.listen(endpointOf(m_core.settings.listenAddress)));
    BOOST_LEAF_CHECK(m_readiness.listen(endpointOf(m_core.settings.readinessAddress)));
    m_metrics.listen();
    m_desiredDriver.advance();
    m_targetsDriver.advance();
    scheduleGossip();
    // What calls have spent in this turn may make the next report due earlier.
    m_core.loop.atTurnEnd([this] {
        if (m_allowances.reportDue() < m_gossipAt) {
            scheduleGossip();
        }
    });
    return {};
}

void EntryNode::takeDesired(const std::vector<DesiredEvent> &events)
{
    for (const DesiredEvent &event : events) {
        const auto *changed = std::get_if<StateChanged>(&event);
        if (changed == nullptr) {
            m_core.log.write(DecisionEvent::StateRejected,
                             m_core.loop.now(),
                             {{"offset", std::get<StateUnreadable>(event).offset}});
            continue;
        }
        const ServingState &state = *changed->state;
        m_core.log.write(DecisionEvent::StateApplied,
                         m_core.loop.now(),
                         {{fieldnames::StateVersion, state.version},
                          {"routes", state.routes.size()},
                          {"pools", state.pools.size()},
                          {"customers", state.customers.size()}});
        m_gateway.setState(changed->state);
        m_allowances.setCustomers(state.customers, m_core.loop.now());
        updateAgents();
    }
    if (m_desired.follower().failing()) {
        m_targets.storeFailed();
    } else {
        m_targets.storeServed(m_core.loop.now());
    }
}

void EntryNode::takeTargets(const std::vector<TargetEvent> &events)
{
    for (const TargetEvent &event : events) {
        std::visit([this](const auto &change) { take(change); }, event);
    }
    expireTargets();
}

void EntryNode::expireTargets()
{
    m_core.loop.cancel(m_expiryTimer);
    m_expiryTimer = 0;
    if (const auto due = m_targets.nextExpiry()) {
        m_expiryTimer = m_core.loop.at(*due, [this] {
            m_expiryTimer = 0;
            takeTargets(m_targets.expire(m_core.loop.now()));
        });
    }
}

void EntryNode::take(const TargetChanged &event)
{
    const TargetRecord &record = event.record;
    const KnownTarget *before = m_book.target(record.id);
    const bool known = before != nullptr && before->registered;
    if (!known || record.draining) {
        m_core.log.write(record.draining ? DecisionEvent::TargetDraining : DecisionEvent::TargetAdded,
                         m_core.loop.now(),
                         {{fieldnames::Target, record.id},
                          {"pool", record.pool},
                          {"address", record.address},
                          {"born_ms", record.bornMs},
                          {"remaining_ms", toMilliseconds(record.remaining.value_or(Duration::zero()))}});
    }
    const ChangedModels changed = m_book.setRecord(record, m_core.loop.now());
    updateAgents();
    m_gateway.targetsChanged(changed);
}

void EntryNode::take(const TargetGone &event)
{
    m_core.log.write(DecisionEvent::TargetRemoved, m_core.loop.now(), {{fieldnames::Target, event.id}});
    const ChangedModels changed = m_book.dropRecord(event.id, m_core.loop.now());
    m_gateway.suspects().targetDied(event.id, m_core.loop.now());
    m_agents.erase(event.id);
    m_demand.remove(event.id);
    m_gateway.targetsChanged(changed);
}

void EntryNode::updateAgents()
{
    const ServingStatePtr &state = m_desired.state();
    if (state == nullptr) {
        return;
    }
    for (const auto &[id, record] : m_targets.targets()) {
        const ServingPool *pool = state->pool(record.pool);
        const auto endpoint = parseEndpoint(record.address);
        if (pool == nullptr || !pool->engine || !endpoint) {
            continue;
        }
        KnownAgent &agent = m_agents[id];
        agent.target = id;
        agent.endpoint = {endpoint->ip, m_core.settings.firstPeerPort};
        agent.pool = record.pool;
        m_demand.add(id);
    }
    markSuccessors();
}

void EntryNode::markSuccessors()
{
    std::map<std::string, std::int64_t> firstBorn; ///< By address.
    for (const auto &[id, record] : m_targets.targets()) {
        const auto [known, added] = firstBorn.emplace(record.address, record.bornMs);
        known->second = std::min(known->second, record.bornMs);
    }
    for (const auto &[id, record] : m_targets.targets()) {
        const auto agent = m_agents.find(id);
        if (agent != m_agents.end() && firstBorn[record.address] < record.bornMs) {
            agent->second.successor = true;
        }
    }
}

bool EntryNode::sendDemand(const std::string &target)
{
    const auto agent = m_agents.find(target);
    const KnownTarget *known = m_book.target(target);
    if (agent == m_agents.end() || known == nullptr) {
        return false;
    }
    wire::Envelope envelope;
    wire::EntryUsage &usage = *envelope.mutable_usage();
    usage.set_instance(target);
    usage.set_successor(agent->second.successor);
    const TargetPool *pool = m_book.pool(agent->second.pool);
    usage.set_pool_targets(pool == nullptr ? 0 : static_cast<std::uint32_t>(pool->open.size()));
    for (const auto &[item, calls] : known->own.items) {
        wire::EntryUsage::InFlight &inFlight = *usage.add_in_flight();
        inFlight.set_item(item);
        inFlight.set_calls(calls);
    }
    for (const WantedItem &wanted : m_gateway.wantsAt(target)) {
        wire::EntryUsage::Want &want = *usage.add_wants();
        want.set_item(wanted.item);
        want.set_calls(wanted.calls);
        want.set_priority(wanted.priority);
        want.set_age_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(m_core.loop.now() - wanted.since))));
    }
    m_peers.send(agent->second.endpoint, envelope);
    return usage.wants_size() > 0;
}

void EntryNode::received(const wire::Envelope &envelope)
{
    if (envelope.has_agent()) {
        receivedAgent(envelope);
    } else if (envelope.has_gossip()) {
        receivedGossip(envelope);
    }
}

void EntryNode::receivedAgent(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    if (!m_agentsHeard.hear(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)) {
        return;
    }
    const wire::AgentState &state = envelope.agent();
    for (const std::string &entry : state.entries()) {
        learnEntry(entry);
    }
    if (m_agents.contains(state.instance())) {
        m_gateway.targetsChanged(m_book.setView(state.instance(), viewOf(state), now));
    }
}

void EntryNode::receivedGossip(const wire::Envelope &envelope)
{
    learnEntry(envelope.sender());
    for (const wire::EntryGossip::Member &member : envelope.gossip().members()) {
        learnEntry(member.address());
    }
    for (const wire::EntryGossip::Crash &crash : envelope.gossip().crashes()) {
        m_gateway.suspects().merge({crash.request(), crash.target()}, m_core.loop.now());
    }
    m_allowances.hear(readReport(envelope), m_core.loop.now());
    m_book.setEntries(static_cast<std::uint32_t>(m_allowances.members().memberCount()));
    scheduleGossip();
}

void EntryNode::learnEntry(const std::string &address)
{
    if (address != m_core.settings.ip && parseIp(address) && m_entries.insert(address).second) {
        scheduleGossip();
    }
}

void EntryNode::scheduleGossip()
{
    m_core.loop.cancel(m_gossipTimer);
    m_gossipAt = std::max(m_allowances.reportDue(), m_core.loop.now());
    m_gossipTimer = m_core.loop.at(m_gossipAt, [this] {
        m_gossipTimer = 0;
        sendGossip();
    });
}

void EntryNode::logAllowances()
{
    const MemberView &members = m_allowances.members();
    if (members.poolFraction() == m_loggedFraction && members.memberCount() == m_loggedMembers) {
        return;
    }
    m_loggedFraction = members.poolFraction();
    m_loggedMembers = members.memberCount();
    m_core.log.write(
        DecisionEvent::AllowanceChanged,
        m_core.loop.now(),
        {{"share", m_loggedFraction},
         {"entries", m_loggedMembers},
         {fieldnames::StateVersion, m_gateway.table() == nullptr ? 0 : m_gateway.table()->state().version}});
}

void EntryNode::sendGossip()
{
    m_allowances.advance(m_core.loop.now());
    logAllowances();
    if (m_allowances.reportDue() <= m_core.loop.now()) {
        const OutgoingReport outgoing = m_allowances.makeReport(m_core.loop.now());
        wire::Envelope envelope;
        writeReport(outgoing.report, *envelope.mutable_gossip());
        for (const CrashMark &mark : m_gateway.suspects().marks()) {
            wire::EntryGossip::Crash &crash = *envelope.mutable_gossip()->add_crashes();
            crash.set_request(mark.request);
            crash.set_target(mark.crash);
        }
        const std::vector<std::string> all(m_entries.begin(), m_entries.end());
        for (const std::string &address : outgoing.receivers.empty() ? all : outgoing.receivers) {
            m_peers.send({parseIp(address).value_or(0), m_core.settings.firstPeerPort}, envelope);
        }
    }
    scheduleGossip();
}

bool EntryNode::ready() const
{
    const bool keysNeeded = m_gateway.table() != nullptr && m_gateway.table()->needsKeys();
    return !m_stopBegan && m_gateway.table() != nullptr && m_targets.follower().complete()
        && (!keysNeeded || m_desired.freshness().keyedCallsAllowed(bootTimeNow()));
}

void EntryNode::beginStop()
{
    if (m_stopBegan) {
        return;
    }
    m_stopBegan = m_core.loop.now();
    m_gateway.beginStop();
    m_core.log.write(DecisionEvent::ProcessUnready, m_core.loop.now(), {{fieldnames::Reason, "stop"}});
    advanceStop();
}

void EntryNode::advanceStop()
{
    const Duration since = m_core.loop.now() - *m_stopBegan;
    const bool late = since >= m_core.settings.bounds.stopGrace - StopReserve;
    const bool outOfRotation = since >= LeaveRotationTime;
    if (outOfRotation) {
        m_gateway.stopAccepting();
    }
    if (since >= m_core.settings.bounds.stopGrace / 2) {
        m_gateway.giveUpWaiting();
    }
    if (since >= m_core.settings.bounds.stopGrace - LastAnswers) {
        m_gateway.endCalls();
    }
    if ((outOfRotation && m_gateway.callsInWork() == 0 && m_gateway.callersConnected() == 0) || late) {
        m_core.log.write(DecisionEvent::ProcessStop,
                         m_core.loop.now(),
                         {{fieldnames::Reason, "signal"}, {"in_work", m_gateway.callsInWork()}});
        m_core.loop.stop();
        return;
    }
    m_core.loop.at(m_core.loop.now() + StopPoll, [this] { advanceStop(); });
}

void EntryNode::reload(const NodeSettings &settings)
{
    m_core.settings = settings;
}

} // namespace celeryroute
