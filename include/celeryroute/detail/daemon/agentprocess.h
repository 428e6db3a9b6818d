#pragma once

#include <celeryroute/detail/agent/agent.h>
#include <celeryroute/detail/daemon/peeranswers.h>
#include <celeryroute/detail/daemon/process.h>
#include <celeryroute/detail/http/httpserver.h>

#include <atomic>
#include <memory>

namespace celeryroute {

/// @brief The daemon in the role of an agent.
class AgentProcess
{
public:
    explicit AgentProcess(DaemonSettings settings);
    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /// @brief Opens the ports and serves. Fails with PortUnavailable, also when another agent of this
    /// host holds the guard port.
    Result<void> start();
    /// @brief Begins a planned stop: new work is refused, work in hand is finished.
    void requestStop(TimePoint now);
    /// @brief Whether a planned stop is complete.
    bool advanceStop(TimePoint now);
    std::string listenEndpoint() const;
    std::string peerEndpoint() const;

private:
    AgentHooks agentHooks();
    void handleHttp(const HttpRequest &request, HttpResponder &responder);
    Result<void> takeGuardPort();

    Process m_process;
    PeerAnswers m_answers;
    Agent m_agent;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpServer> m_guard; ///< Holds the guard port; answers nothing.
    std::atomic<bool> m_stopping{false};
    TimePoint m_stopRequested;
};

} // namespace celeryroute
