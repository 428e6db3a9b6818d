#include "targetrouter.h"

#include <peer.pb.h>

namespace celeryroute {

namespace {

ModelPlace placeOf(proto::ModelResidency::Phase phase)
{
    switch (phase) {
    case proto::ModelResidency::RESIDENT:
        return ModelPlace::Resident;
    case proto::ModelResidency::LOADING:
        return ModelPlace::Loading;
    default:
        return ModelPlace::Remote;
    }
}

} // namespace

TargetRouter::TargetRouter(HostDirectory &directory, std::string instance)
    : m_directory(directory)
    , m_instance(std::move(instance))
    , m_state(std::make_shared<const FleetState>())
{}

void TargetRouter::setState(std::shared_ptr<const FleetState> state)
{
    m_state = std::move(state);
}

void TargetRouter::refresh(TimePoint now)
{
    for (auto known = m_poolOfHost.begin(); known != m_poolOfHost.end();) {
        const HostLink *link = m_directory.find(known->first);
        if (link != nullptr && link->host().pool == known->second) {
            ++known;
            continue;
        }
        m_choosers[known->second].removeTarget(known->first);
        known = m_poolOfHost.erase(known);
    }
    for (const auto &[host, link] : m_directory.links()) {
        if (link->host().role != HostRole::Agent) {
            continue;
        }
        TargetInfo info;
        info.host = host;
        info.domain = link->host().domain;
        info.leaving = !link->usable(now) && link->reachable(now);
        info.silent = !link->reachable(now);
        info.drained = m_state->isHostDraining(host);
        m_choosers[link->host().pool].setTarget(info);
        m_poolOfHost[host] = link->host().pool;
    }
}

void TargetRouter::takeReport(const HostLink &link)
{
    const auto chooser = m_choosers.find(link.host().pool);
    TargetState *target = chooser == m_choosers.end() ? nullptr : chooser->second.find(link.host().host);
    const proto::TargetLoad *load = link.load();
    if (target == nullptr || load == nullptr) {
        return;
    }
    LoadReport report;
    report.sampled = link.loadReceived();
    report.running = load->running();
    report.maxConcurrent = load->max_concurrent();
    report.queuedTokens = load->queued_tokens();
    report.tokensPerSecond = load->tokens_per_second();
    target->setReport(report);
    for (const proto::ModelResidency &item : load->models()) {
        target->setPlacement(item.model(), {placeOf(item.phase()), std::chrono::milliseconds(item.expected_load_ms())});
    }
}

HostLink *TargetRouter::choose(const CallerCall &call, const std::set<std::string> &triedHosts)
{
    const auto chooser = m_choosers.find(call.route.pool);
    if (chooser == m_choosers.end()) {
        return nullptr;
    }
    refreshHolders(chooser->second, call.route.pool, call.model);
    TargetQuery query;
    query.model = call.model;
    query.spreadKey = m_instance;
    query.excludedHosts = triedHosts;
    query.random = m_random();
    const auto choice = chooser->second.choose(query);
    return choice ? m_directory.find(choice->host) : nullptr;
}

// Holders change only through the log, so the chooser is updated once per revision.
void TargetRouter::refreshHolders(TargetChooser &chooser, const std::string &pool, const std::string &model)
{
    const Authority *authority = model.empty() ? nullptr : m_state->authority(pool, model);
    if (authority == nullptr) {
        return;
    }
    Revision &seen = m_holdersSeen[{pool, model}];
    if (seen == authority->revision) {
        return;
    }
    seen = authority->revision;
    std::vector<std::string> hosts;
    for (const AuthorityHolder &holder : authority->holders) {
        if (!holder.revoked) {
            hosts.push_back(holder.host);
        }
    }
    chooser.setHolders(model, hosts);
}

void TargetRouter::noteSent(const HostLink &link, const std::string &attemptId, std::uint64_t tokens, TimePoint now)
{
    if (TargetState *target = m_choosers[link.host().pool].find(link.host().host)) {
        target->noteSent(attemptId, tokens, now);
    }
}

void TargetRouter::noteEnded(const std::string &host, const std::string &attemptId)
{
    const auto pool = m_poolOfHost.find(host);
    if (pool == m_poolOfHost.end()) {
        return;
    }
    if (TargetState *target = m_choosers[pool->second].find(host)) {
        target->noteEnded(attemptId);
    }
}

} // namespace celeryroute
