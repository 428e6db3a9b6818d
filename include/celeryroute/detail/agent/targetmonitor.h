#pragma once

#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/poolspec.h>

#include <functional>
#include <optional>

namespace celeryroute {

/// What the last probe of the target showed.
enum class TargetCondition {
    Unknown, ///< Not probed yet.
    Alive,
    Silent, ///< Connects or hangs, but does not answer.
    Dead, ///< Refuses connections.
};

/// @brief Probes the target at intervals and on request, always over a new connection.
class TargetMonitor
{
public:
    TargetMonitor(const AgentSettings &settings,
                  HttpMultiClient &client,
                  std::function<void(TargetCondition before, TargetCondition now)> onProbed);

    void setKind(PoolKind kind);
    /// @brief Probes soon; one probe serves all that ask while it is under way.
    void probeSoon();
    void step(TimePoint now);
    TargetCondition condition() const;
    /// @brief Whether new work may be taken: the last probe did not fail.
    bool usable() const;
    double tokensPerSecond() const; ///< As the engine reports, with a lag.

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
    bool m_probeSoon = true;
    double m_tokensPerSecond = 0;
};

} // namespace celeryroute
