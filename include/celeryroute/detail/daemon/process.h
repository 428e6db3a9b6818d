#pragma once

#include <celeryroute/detail/control/control.h>
#include <celeryroute/detail/daemon/daemonsettings.h>
#include <celeryroute/detail/transport/transportcontext.h>

#include <string>

namespace celeryroute {

/// @brief What both roles of the daemon have: identity, agreed state, control thread, observers.
class Process
{
public:
    explicit Process(DaemonSettings settings);

    const DaemonSettings &settings() const;
    const std::string &instance() const;
    TransportContext &context();
    const StateStore &store() const;
    Observers observers();
    Control &control();
    const Control &control() const;

private:
    DaemonSettings m_settings;
    std::string m_instance;
    TransportContext m_context;
    Timeline m_timeline;
    Metrics m_metrics;
    StateStore m_store;
    Control m_control;
};

} // namespace celeryroute
