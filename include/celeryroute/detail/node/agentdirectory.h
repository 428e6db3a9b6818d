#pragma once

#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace celeryroute {

/// @brief Endpoint and pool of the agent that manages a target, as an entry knows them.
struct KnownAgent {
    Endpoint endpoint;
    std::string pool;
    bool successor = false; ///< Whether another target used the same address before.
    bool operator==(const KnownAgent &) const = default;
};

/// @brief Agents of all engines in the registry, by target id.
///
/// The cost of a change does not grow with the number of agents.
class AgentDirectory
{
public:
    explicit AgentDirectory(std::uint16_t peerPort);

    /// @brief Records a new or changed target of any pool.
    void noteTarget(const TargetRecord &record);
    void forgetTarget(const std::string &id);
    /// @brief Records that another target used the address of @p target before.
    void noteSuccessor(const std::string &target);
    /// @brief Records that the target of @p record has an agent; returns false if its address cannot be parsed.
    bool addAgent(const TargetRecord &record);
    /// @brief Returns the agent of @p target, or null if it has none.
    const KnownAgent *agent(const std::string &target) const;

private:
    /// Birth times and ids of the targets that use one address, oldest first.
    using Lifetimes = std::set<std::pair<std::int64_t, std::string>>;

    void unlist(const std::string &id);
    void markSuccessors(const Lifetimes &lifetimes);

    std::uint16_t m_peerPort;
    std::unordered_map<std::string, KnownAgent> m_agents; ///< Keyed by target id.
    std::unordered_map<std::string, std::pair<std::string, std::int64_t>>
        m_targets; ///< Address and birth time, keyed by target id.
    std::unordered_map<std::string, Lifetimes> m_lifetimes; ///< Keyed by address.
    std::set<std::string> m_successors; ///< Targets that noteSuccessor() named.
};

} // namespace celeryroute
