#pragma once

#include <celeryroute/detail/agent/agentevent.h>
#include <celeryroute/detail/agent/agentsettings.h>
#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/detail/residency/loadcontroller.h>

#include <functional>
#include <memory>
#include <string>

namespace celeryroute {

/// Callbacks for the events of a ResidencyRunner.
struct ResidencyObserver {
    std::function<void(const std::string &item)> ready;
    std::function<void(const std::string &item, const Error &error)> failed;
    std::function<void(const std::string &item, TimePoint expectedReady)> loading;
    std::function<void(const std::string &item)> absent;
    std::function<void(const ReleaseGrant &release)> released;
    std::function<void(const RequestLoadSlot &request)> loadSlotRequested;
    std::function<void(const AgentEvent &event)> event;
};

/// @brief Executes the decisions of a LoadController at one engine.
class ResidencyRunner
{
public:
    ResidencyRunner(const AgentSettings &settings,
                    HttpMultiClient &client,
                    std::function<void()> refreshView,
                    ResidencyObserver observer,
                    TimePoint now);

    void updateView(const AgentView &view);
    void step(TimePoint now);
    LoadController &controller();
    const LoadController &controller() const;

private:
    struct Answer;

    void perform(const ResidencyAction &action);
    void sendOrder(const ModelOrder &order);
    void readInventory();
    void orderEnded(const ModelOrder &order, const Answer &answer, const HttpCallEnd &end);
    void inventoryEnded(TimePoint readStarted, const Answer &answer, const HttpCallEnd &end);
    void emit(AgentEventKind kind, const std::string &item, std::string detail);

    const AgentSettings &m_settings;
    HttpMultiClient &m_client;
    std::function<void()> m_refreshView; ///< Calls updateView() if a newer view is available.
    ResidencyObserver m_observer;
    LoadController m_controller;
};

} // namespace celeryroute
