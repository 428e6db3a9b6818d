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

/// @brief Runs beside one target and is the only process that sends requests to it.
///
/// All methods are thread-safe.
class Agent
{
public:
    /// @p context must outlive the agent.
    Agent(AgentSettings settings, AgentHooks hooks, TransportContext &context);
    /// @brief Stops immediately, without a graceful stop, if the agent is still running.
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    /// @brief Binds the peer endpoint and starts serving. Fails with PortUnavailable.
    Result<void> start();
    /// @brief Returns the bound peer endpoint as `ip:port`.
    std::string endpoint() const;
    /// @brief Sets the platform's host list after a successful read. No grants are planned before the first call.
    void setHosts(std::vector<HostEntry> hosts);
    /// @brief Begins a graceful stop: refuses new attempts, finishes queued and running ones, unloads
    /// the models and releases their grants.
    void requestStop();
    /// @brief Returns whether a graceful stop is complete.
    bool finished() const;
    std::string statusJson() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
