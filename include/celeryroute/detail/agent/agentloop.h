#pragma once

#include <celeryroute/detail/agent/agenthooks.h>
#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/agent/attemptrunner.h>
#include <celeryroute/detail/agent/grantreleaser.h>
#include <celeryroute/detail/agent/peergateway.h>
#include <celeryroute/detail/agent/residencyrunner.h>
#include <celeryroute/detail/agent/targetmonitor.h>
#include <celeryroute/detail/residency/isolationrule.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <optional>
#include <set>
#include <string>

namespace celeryroute {

/// @brief Event loop of one agent. Handles all peer messages and all calls to the target on one thread.
class AgentLoop
{
public:
    AgentLoop(AgentSettings settings, AgentHooks hooks, TransportContext &context);

    Result<void> bind();
    std::string endpoint() const;
    /// @brief Serves until a requested stop is complete or abort() is called.
    void run();
    /// @brief Makes run() finish the current attempts, release the grants and return. Thread-safe.
    void requestStop();
    /// @brief Makes run() return without finishing the current attempts. Thread-safe.
    void abort();
    /// @brief Returns the latest published status as JSON. Thread-safe.
    std::string statusJson() const;
    /// @brief Returns the items in the target's memory. Thread-safe.
    std::set<std::string> heldItems() const;

private:
    enum class Stage { Serving, FinishingWork, ReleasingGrants, Closing, Closed };

    void refreshView();
    void receiveAll();
    void handle(const PeerMessage &message);
    void answerHeartbeat(const PeerMessage &message);
    void answerOtherMessage(const PeerMessage &message);
    void step(TimePoint now);
    void stepResidency(TimePoint now);
    void stepReleases(TimePoint now);
    void stepStop(TimePoint now);
    void fillLoad(proto::TargetLoad &load) const;
    void targetProbed(TargetCondition before, TargetCondition condition);
    void publishStatus();
    void emit(const AgentEvent &event);
    ResidencyObserver residencyObserver();

    AgentSettings m_settings;
    AgentHooks m_hooks;
    HttpMultiClient m_client;
    PeerGateway m_gateway;
    AgentView m_view;
    ResidencyRunner m_residency;
    TargetMonitor m_monitor;
    SuspicionRelay m_suspicions;
    AttemptRunner m_attempts;
    GrantReleaser m_releaser;
    IsolationRule m_isolation;
    std::atomic<bool> m_stopRequested = false;
    std::atomic<bool> m_aborted = false;
    Stage m_stage = Stage::Serving;
    bool m_engine = false; ///< Whether the pool's targets are engines.
    TimePoint m_stageDeadline;
    TimePoint m_nextStatus;
    mutable absl::Mutex m_statusMutex;
    std::string m_status ABSL_GUARDED_BY(m_statusMutex) = "{}";
    std::set<std::string> m_heldItems ABSL_GUARDED_BY(m_statusMutex);
};

} // namespace celeryroute
