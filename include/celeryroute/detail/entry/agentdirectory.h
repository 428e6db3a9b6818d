#pragma once

#include <celeryroute/detail/entry/agentlink.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The links of one entry to the agents that the host list names.
class AgentDirectory
{
public:
    AgentDirectory(TransportContext &context, LinkTimeouts timeouts);

    /// @brief Opens and closes links so that they match @p hosts. A host with another address gets a
    /// new link. Returns the hosts whose links were closed.
    std::vector<std::string> update(const std::vector<HostEntry> &hosts, TimePoint now);
    AgentLink *find(const std::string &host);
    /// @brief Links to agents of @p pool that may get new work.
    std::vector<AgentLink *> usable(const std::string &pool, TimePoint now);
    std::map<std::string, std::unique_ptr<AgentLink>> &links();

private:
    TransportContext &m_context;
    LinkTimeouts m_timeouts;
    std::map<std::string, std::unique_ptr<AgentLink>> m_links;
};

} // namespace celeryroute
