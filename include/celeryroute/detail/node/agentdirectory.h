#pragma once

#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace celeryroute {

/// The agent beside a target, as an entry reaches it.
struct KnownAgent {
    Endpoint endpoint;
    std::string pool;
    bool successor = false; ///< Another target had the address before.
    bool operator==(const KnownAgent &) const = default;
};

/// The agents of all engines in the registry, by target. A change costs the same however many there are.
class AgentDirectory
{
public:
    explicit AgentDirectory(std::uint16_t peerPort);

    /// @brief Takes in a target of any pool that is new or has changed.
    void noteTarget(const TargetRecord &record);
    void forgetTarget(const std::string &id);
    /// @brief The target of @p record has an agent from now on; false when its address cannot be read.
    bool addAgent(const TargetRecord &record);
    /// @brief The agent of @p target, or null.
    const KnownAgent *agent(const std::string &target) const;

private:
    /// When targets were born and which they are.
    using Lifetimes = std::set<std::pair<std::int64_t, std::string>>;

    void unlist(const std::string &id);
    void markSuccessors(const Lifetimes &lifetimes);

    std::uint16_t m_peerPort;
    std::unordered_map<std::string, KnownAgent> m_agents; ///< By target id.
    std::unordered_map<std::string, std::pair<std::string, std::int64_t>> m_targets; ///< Address and birth, by id.
    std::unordered_map<std::string, Lifetimes> m_lifetimes; ///< By address.
};

} // namespace celeryroute
