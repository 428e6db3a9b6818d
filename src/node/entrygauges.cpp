#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/detail/node/processgauges.h>

namespace celeryroute {

std::vector<AllowanceGauge> EntryNode::allowanceGauges() const
{
    std::vector<AllowanceGauge> gauges;
    if (m_desired.state() == nullptr) {
        return gauges;
    }
    const double share = m_allowances.members().usableFraction();
    for (const ServingCustomer &customer : m_desired.state()->customers) {
        const CustomerAllowance *account = m_allowances.find(customer.name);
        if (account != nullptr && account->isLimited()) {
            gauges.push_back({customer.name, share, account->bucket().level()});
        }
    }
    return gauges;
}

std::uint64_t EntryNode::shunnedTargets() const
{
    std::uint64_t count = 0;
    for (const auto &[id, record] : m_targets.targets()) {
        const KnownTarget *target = m_targetTable.target(id);
        if (target != nullptr && target->health.state(m_core.loop.now()) != TargetHealth::State::Healthy) {
            ++count;
        }
    }
    return count;
}

ServingGauges EntryNode::gauges() const
{
    const TimePoint now = m_core.loop.now();
    ServingGauges gauges = processGauges(m_core);
    gauges.ready = isReady();
    if (m_desired.state() != nullptr) {
        gauges.stateVersion = m_desired.state()->version;
    }
    gauges.stateAge = ageOf(m_desired.follower(), now);
    gauges.registryAge = ageOf(m_targets.follower(), now);
    gauges.retryAllowance = m_retries.leastRemaining(now);
    gauges.allowances = allowanceGauges();
    gauges.queuedRequests = m_gateway.callsWaiting();
    gauges.runningRequests = m_gateway.callsInProgress() - m_gateway.callsWaiting();
    gauges.callerConnections = m_gateway.callersConnected();
    gauges.targetConnections = m_gateway.targetConnections();
    gauges.storeConnections = m_store.connections();
    gauges.incomingBytes = m_gateway.memoryAccount().held(HeldKind::Incoming);
    gauges.acceptedBytes = m_gateway.memoryAccount().held(HeldKind::Accepted);
    gauges.answerBytes = m_gateway.answerBuffers().held();
    gauges.targets = m_targets.targets().size();
    gauges.shunnedTargets = shunnedTargets();
    gauges.limitedTargets = m_targetTable.limits().limitedCount();
    gauges.coldTargets = m_targetTable.limits().coldCount(now);
    gauges.evacuatedDomains = m_targetTable.evacuated().size();
    gauges.evacuatedTargets = m_targetTable.evacuatedCount();
    gauges.issuedTargets = m_limits.issued();
    gauges.heldPermits = m_targetTable.limits().permits(now);
    gauges.wantedPermits = m_limits.wanted();
    gauges.peers = m_agentPeers.presentCount() + m_entryPeers.presentCount();
    return gauges;
}

} // namespace celeryroute
