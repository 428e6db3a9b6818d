#include "followersimulation.h"

#include <utility>

namespace celeryroute::test {

namespace {
FollowerSettings settingsFor(const std::string &name, const SnapshotPolicy &policy)
{
    FollowerSettings settings;
    settings.incarnation = name;
    settings.maxRecordsPerRead = 5;
    settings.snapshots = policy;
    return settings;
}

Error cutOff()
{
    return {ResultCode::LogUnavailable, "cut off"};
}
} // namespace

FollowerSimulation::Process::Process(const std::string &name, TimePoint now, const SnapshotPolicy &policy)
    : follower(settingsFor(name, policy), store, now)
{}

FollowerSimulation::Process &FollowerSimulation::start(const std::string &name)
{
    m_processes[name] = std::make_unique<Process>(name, now, policy);
    return *m_processes[name];
}

void FollowerSimulation::stop(const std::string &name)
{
    m_processes.erase(name);
}

FollowerSimulation::Process &FollowerSimulation::process(const std::string &name)
{
    return *m_processes.at(name);
}

std::vector<std::string> FollowerSimulation::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, process] : m_processes) {
        names.push_back(name);
    }
    return names;
}

void FollowerSimulation::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (now < end) {
        for (auto &[name, process] : m_processes) {
            if (!process->paused) {
                step(name, *process);
            }
        }
        now += std::chrono::milliseconds(250);
    }
}

void FollowerSimulation::step(const std::string &name, Process &process)
{
    exchangeOffsets(name, process);
    process.follower.setFleetSize(m_processes.size());
    for (const FollowerAction &action : process.follower.step(now)) {
        carryOut(process, action);
    }
    for (RecordResult &result : process.follower.takeResults()) {
        process.results[result.recordId] = std::move(result);
    }
}

void FollowerSimulation::exchangeOffsets(const std::string &name, Process &process)
{
    for (auto &[other, peer] : m_processes) {
        if (other != name && !peer->cutOffFromPeers && !process.cutOffFromPeers && !peer->paused) {
            process.follower.setPeerOffset(other, peer->follower.state().nextOffset(), now);
        }
    }
}

void FollowerSimulation::carryOut(Process &process, const FollowerAction &action)
{
    if (const auto *read = std::get_if<ReadLog>(&action)) {
        const ReadOutcome outcome = process.cutOffFromLog ? ReadOutcome(LogUnreachable{cutOff()})
                                                          : log.read(read->read);
        process.follower.handle(LogReadDone{read->read, outcome, now}, now);
    } else if (const auto *append = std::get_if<AppendToLog>(&action)) {
        const AppendOutcome outcome = process.cutOffFromLog ? AppendOutcome(NotAppended{cutOff()})
                                                            : log.append(append->bytes);
        process.follower.handle(LogAppendDone{append->recordId, outcome}, now);
    } else if (const auto *query = std::get_if<QueryPeer>(&action)) {
        const auto peer = m_processes.find(query->peer);
        if (peer == m_processes.end() || peer->second->paused || peer->second->cutOffFromPeers) {
            return;
        }
        proto::StateQuery message;
        message.set_from_offset(query->fromOffset);
        process.follower.handle(peer->second->follower.answer(message), now);
    }
}

} // namespace celeryroute::test
