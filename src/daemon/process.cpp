#include <celeryroute/detail/daemon/process.h>

namespace celeryroute {

namespace {

ControlSettings controlSettings(const DaemonSettings &settings, const std::string &instance)
{
    ControlSettings control;
    control.host = settings.host;
    control.instance = instance;
    control.logUrl = settings.logUrl;
    control.hostsUrl = settings.hostsUrl;
    control.follower.incarnation = instance;
    return control;
}

} // namespace

Process::Process(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_instance(newInstanceName(m_settings.host))
    , m_context(m_settings.curveKeys)
    , m_timeline(m_instance, m_settings.host, m_settings.timelineEvents)
    , m_control(controlSettings(m_settings, m_instance), m_store, m_context, observers())
{}

const DaemonSettings &Process::settings() const
{
    return m_settings;
}

const std::string &Process::instance() const
{
    return m_instance;
}

TransportContext &Process::context()
{
    return m_context;
}

const StateStore &Process::store() const
{
    return m_store;
}

Observers Process::observers()
{
    return {m_timeline, m_metrics};
}

Control &Process::control()
{
    return m_control;
}

const Control &Process::control() const
{
    return m_control;
}

} // namespace celeryroute
