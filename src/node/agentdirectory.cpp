#include <celeryroute/detail/node/agentdirectory.h>

namespace celeryroute {

AgentDirectory::AgentDirectory(std::uint16_t peerPort)
    : m_peerPort(peerPort)
{}

void AgentDirectory::noteTarget(const TargetRecord &record)
{
    const auto known = m_targets.find(record.id);
    if (known != m_targets.end() && known->second == std::pair(record.address, record.bornMs)) {
        return;
    }
    if (known != m_targets.end()) {
        unlist(record.id);
    }
    m_targets[record.id] = {record.address, record.bornMs};
    Lifetimes &lifetimes = m_lifetimes[record.address];
    lifetimes.emplace(record.bornMs, record.id);
    markSuccessors(lifetimes);
}

void AgentDirectory::forgetTarget(const std::string &id)
{
    unlist(id);
    m_successors.erase(id);
    m_agents.erase(id);
}

void AgentDirectory::noteSuccessor(const std::string &target)
{
    m_successors.insert(target);
    const auto agent = m_agents.find(target);
    if (agent != m_agents.end()) {
        agent->second.successor = true;
    }
}

bool AgentDirectory::addAgent(const TargetRecord &record)
{
    const auto endpoint = parseEndpoint(record.address);
    if (!endpoint) {
        return false;
    }
    KnownAgent &agent = m_agents[record.id];
    agent.endpoint = {endpoint->ip, m_peerPort};
    agent.pool = record.pool;
    agent.successor = agent.successor || m_successors.contains(record.id);
    const auto lifetimes = m_lifetimes.find(record.address);
    if (lifetimes != m_lifetimes.end()) {
        markSuccessors(lifetimes->second);
    }
    return true;
}

const KnownAgent *AgentDirectory::agent(const std::string &target) const
{
    const auto agent = m_agents.find(target);
    return agent == m_agents.end() ? nullptr : &agent->second;
}

void AgentDirectory::unlist(const std::string &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    const auto lifetimes = m_lifetimes.find(known->second.first);
    lifetimes->second.erase({known->second.second, id});
    if (lifetimes->second.empty()) {
        m_lifetimes.erase(lifetimes);
    }
    m_targets.erase(known);
}

// Sets the flag and never clears it: a target remains a successor after its predecessor has left the registry.
void AgentDirectory::markSuccessors(const Lifetimes &lifetimes)
{
    for (const auto &[bornMs, id] : lifetimes) {
        const auto agent = m_agents.find(id);
        if (agent != m_agents.end() && lifetimes.begin()->first < bornMs) {
            agent->second.successor = true;
        }
    }
}

} // namespace celeryroute
