#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/placement/agentstateview.h>

#include <serving.pb.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration PeerCheck = std::chrono::seconds(1); ///< Interval of the checks for silent peers.

HeardMessage heardMessage(const wire::Envelope &envelope)
{
    return {envelope.incarnation(), envelope.sequence()};
}

} // namespace

void EntryNode::addAgent(const TargetRecord &record)
{
    const ServingStatePtr &state = m_desired.state();
    const ServingPool *pool = state == nullptr ? nullptr : state->pool(record.pool);
    if (pool != nullptr && pool->engine && m_agents.addAgent(record)) {
        m_demand.add(record.id);
    }
}

bool EntryNode::sendDemand(const std::string &target)
{
    const KnownAgent *agent = m_agents.agent(target);
    const KnownTarget *known = m_targetTable.target(target);
    if (agent == nullptr || known == nullptr) {
        return false;
    }
    wire::Envelope envelope;
    wire::EntryUsage &usage = *envelope.mutable_usage();
    usage.set_instance(target);
    usage.set_successor(agent->successor);
    usage.set_state(known->view ? known->view->state : 0);
    const TargetPool *pool = m_targetTable.pool(agent->pool);
    usage.set_pool_targets(pool == nullptr ? 0 : static_cast<std::uint32_t>(pool->accepting.size()));
    for (const auto &[item, calls] : known->own.items) {
        wire::EntryUsage::InFlight &inFlight = *usage.add_in_flight();
        inFlight.set_item(item);
        inFlight.set_calls(calls);
    }
    for (const DemandedItem &wanted : m_gateway.demandAt(target)) {
        wire::EntryUsage::Want &want = *usage.add_wants();
        want.set_item(wanted.item);
        want.set_calls(wanted.calls);
        want.set_priority(wanted.priority);
        want.set_age_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(m_core.loop.now() - wanted.since))));
    }
    m_core.metrics.countPeerMessages(PeerMessageKind::Demand, 1, m_peers.send(agent->endpoint, envelope));
    return usage.wants_size() > 0;
}

void EntryNode::handleMessage(const wire::Envelope &envelope)
{
    if (envelope.has_agent()) {
        handleAgentState(envelope);
    } else if (envelope.has_load()) {
        handleAgentLoad(envelope);
    } else if (envelope.has_gossip()) {
        handleGossip(envelope);
    } else if (envelope.has_streams()) {
        handleStreams(envelope);
    } else if (envelope.has_limits()) {
        handleLimits(envelope);
    }
    const bool fromEntry = envelope.has_gossip() || envelope.has_limits();
    PeerRoster &peers = fromEntry ? m_entryPeers : m_agentPeers;
    m_core.metrics.countMissingDatagrams(
        fromEntry ? PeerRole::Entry : PeerRole::Agent,
        peers.recordDatagram(envelope.sender(), envelope.incarnation(), envelope.datagram()));
}

void EntryNode::handleAgentState(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    if (!m_agentPeers.recordMessage(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)) {
        return;
    }
    const wire::AgentState &state = envelope.agent();
    for (const std::string &entry : state.entries()) {
        addEntry(entry);
    }
    if (m_agents.agent(state.instance()) != nullptr) {
        const std::int64_t bornMs = birthTime(state.instance());
        const ChangedModels changed = m_targetTable.setView(state.instance(),
                                                            toTargetView(state),
                                                            now,
                                                            heardMessage(envelope));
        reportRestart(state.instance(), bornMs);
        m_gateway.targetsChanged(changed);
    }
}

void EntryNode::handleAgentLoad(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    const wire::AgentLoad &load = envelope.load();
    if (m_agentPeers.recordMessage(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)
        && m_agents.agent(load.instance()) != nullptr) {
        m_gateway.targetsChanged(
            m_targetTable.setViewLoad(load.instance(), toTargetLoad(load), now, heardMessage(envelope)));
    }
}

void EntryNode::handleGossip(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    addEntry(envelope.sender());
    if (m_entryPeers.recordMessage(envelope.sender(), envelope.incarnation(), envelope.sequence(), now)) {
        m_lastGossip = heardMessage(envelope);
    }
    for (const wire::EntryGossip::Member &member : envelope.gossip().members()) {
        addEntry(member.address());
    }
    receiveCrashes(envelope);
    if (envelope.gossip().report() > 0) {
        m_allowances.receive(readReport(envelope), now);
    }
    // A peer of an older build would take a message with crashes alone for its first report.
    if (m_allowances.members().acknowledged(envelope.sender()) > 0) {
        m_crashes.noteHeard(envelope.sender(), envelope.incarnation(), now);
    }
    const std::size_t entries = m_allowances.members().memberCount();
    m_targetTable.setEntries(static_cast<std::uint32_t>(entries));
    m_targets.useBatchDelay(TopicFollowerSettings::forTargets(m_core.settings.bounds, entries).batchDelay);
    scheduleGossip();
}

void EntryNode::receiveCrashes(const wire::Envelope &envelope)
{
    const TimePoint now = m_core.loop.now();
    if (const std::optional<CrashReceipt> receipt = readReceipt(envelope.gossip())) {
        m_crashes.noteReceipt(envelope.sender(), *receipt);
    }
    const CrashReport report = readCrashes(envelope.gossip());
    for (const CrashMark &mark :
         m_crashes.receive(envelope.sender(), envelope.incarnation(), report, m_gateway.suspects(), now)) {
        m_core.log.write(DecisionEvent::RequestSuspected,
                         now,
                         {{fieldnames::Target, mark.target},
                          {"digest", mark.request},
                          {"crashes", m_gateway.suspects().crashes(mark.request)},
                          {"parts", joinDigests(mark.parts)},
                          {fieldnames::HeardIncarnation, envelope.incarnation()},
                          {fieldnames::HeardMessage, envelope.sequence()}});
    }
}

void EntryNode::addEntry(const std::string &address)
{
    if (address != m_core.settings.ip && parseIp(address) && m_entries.insert(address).second) {
        scheduleGossip();
    }
}

void EntryNode::scheduleGossip()
{
    m_core.loop.cancel(m_gossipTimer);
    m_gossipAt = std::max(m_allowances.advanceDue(), m_core.loop.now());
    m_gossipTimer = m_core.loop.at(m_gossipAt, [this] {
        m_gossipTimer = 0;
        sendGossip();
    });
}

void EntryNode::logAllowances()
{
    const EntryMembership &members = m_allowances.members();
    if (members.usableFraction() == m_loggedFraction && members.memberCount() == m_loggedMembers) {
        return;
    }
    m_loggedFraction = members.usableFraction();
    m_loggedMembers = members.memberCount();
    m_core.log.write(DecisionEvent::AllowanceChanged,
                     m_core.loop.now(),
                     {{"share", m_loggedFraction},
                      {"entries", m_loggedMembers},
                      {fieldnames::StateVersion, m_gateway.table() == nullptr ? 0 : m_gateway.table()->state().version},
                      {fieldnames::Message, m_peers.nextSequence()},
                      {fieldnames::HeardIncarnation, incarnationOf(m_lastGossip)},
                      {fieldnames::HeardMessage, messageOf(m_lastGossip)}});
}

void EntryNode::checkPeers()
{
    const TimePoint now = m_core.loop.now();
    if (now - m_peersCheckedAt < PeerCheck) {
        return;
    }
    m_peersCheckedAt = now;
    m_agentPeers.updateSilent(KnownTarget::MaxAgentSilence, now);
    m_entryPeers.updateSilent(m_allowances.members().timing().acknowledgementTimeout, now);
}

void EntryNode::sendGossip()
{
    m_allowances.advance(m_core.loop.now());
    checkPeers();
    logAllowances();
    if (m_allowances.reportDue() <= m_core.loop.now()) {
        const OutgoingReport outgoing = m_allowances.makeReport(m_core.loop.now());
        const std::vector<std::string> all(m_entries.begin(), m_entries.end());
        for (const std::string &address : outgoing.receivers.empty() ? all : outgoing.receivers) {
            sendReport(address, m_allowances.reportFor(address, outgoing));
        }
    }
    sendCrashes();
    advanceLimits();
    scheduleGossip();
}

void EntryNode::sendReport(const std::string &address, const EntryReport &report)
{
    wire::Envelope envelope;
    writeReport(report, *envelope.mutable_gossip());
    if (const std::optional<CrashReceipt> receipt = m_crashes.receiptFor(address, m_core.loop.now())) {
        writeReceipt(*receipt, *envelope.mutable_gossip());
    }
    const std::size_t bytes = m_peers.send({parseIp(address).value_or(0), m_core.settings.firstPeerPort}, envelope);
    m_core.metrics.countPeerMessages(PeerMessageKind::Report, 1, bytes);
}

void EntryNode::sendCrashes()
{
    for (const CrashExchange::Outgoing &crashes : m_crashes.makeReports(m_gateway.suspects(), m_core.loop.now())) {
        wire::Envelope envelope;
        writeCrashes(crashes.report, *envelope.mutable_gossip());
        const Endpoint receiver{parseIp(crashes.receiver).value_or(0), m_core.settings.firstPeerPort};
        m_core.metrics.countPeerMessages(PeerMessageKind::Crashes, 1, m_peers.send(receiver, envelope));
    }
}

} // namespace celeryroute
