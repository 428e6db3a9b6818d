#pragma once

#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/poolspec.h>

#include <functional>
#include <optional>

namespace celeryroute {

/// Condition of the target as of the last probe.
enum class TargetCondition {
    Unknown, ///< Not probed yet.
    Alive,
    Silent, ///< Does not refuse connections, but does not answer.
    Dead, ///< Refuses connections.
};

/// @brief Probes the target periodically and on request, always over a new connection.
class TargetMonitor
{
public:
    TargetMonitor(const AgentSettings &settings,
                  HttpMultiClient &client,
                  std::function<void(TargetCondition before, TargetCondition now)> onProbed);

    void setKind(PoolKind kind);
    /// @brief Requests a probe at the next step. Requests made during a probe share its result.
    void requestProbe();
    void step(TimePoint now);
    TargetCondition condition() const;
    /// @brief Returns whether new work may be accepted: the last probe did not fail.
    bool usable() const;
    double tokensPerSecond() const; ///< Reported by the engine with a delay.

private:
    void startProbe();
    void probeEnded(std::optional<int> status, const std::string &body, const HttpCallEnd &end);

    const AgentSettings &m_settings;
    HttpMultiClient &m_client;
    std::function<void(TargetCondition, TargetCondition)> m_onProbed;
    std::optional<PoolKind> m_kind;
    TargetCondition m_condition = TargetCondition::Unknown;
    TimePoint m_nextProbe;
    bool m_probing = false;
    bool m_probeRequested = true;
    double m_tokensPerSecond = 0;
};

} // namespace celeryroute
