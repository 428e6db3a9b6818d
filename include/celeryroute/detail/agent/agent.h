#pragma once

#include <celeryroute/detail/agent/agenthooks.h>
#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/result.h>

#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

class TransportContext;

/// @brief The process beside one target and the only one that talks to it.
///
/// Its methods may be called from any thread.
class Agent
{
public:
    /// @p context outlives the agent.
    Agent(AgentSettings settings, AgentHooks hooks, TransportContext &context);
    /// @brief Stops at once if it still runs.
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    /// @brief Binds the peer endpoint and serves. Fails with PortUnavailable.
    Result<void> start();
    /// @brief The bound peer endpoint `ip:port`.
    std::string endpoint() const;
    /// @brief One good reading of the platform's host list; without any, no grant is planned.
    void setHosts(std::vector<HostEntry> hosts);
    /// @brief Begins a graceful stop: refuses new work, finishes what is queued and running, unloads
    /// and releases the grants.
    void requestStop();
    /// @brief Whether a graceful stop is complete.
    bool finished() const;
    std::string statusJson() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
