#pragma once

#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/readinessserver.h>
#include <celeryroute/detail/telemetry/servinggauges.h>

#include <functional>
#include <optional>
#include <string>

namespace celeryroute {

/// The metrics of this process, at the first free port behind the one that its messages use.
class MetricsServer
{
public:
    MetricsServer(NodeCore &core, std::function<ServingGauges()> gauges);

    /// @brief Listens; the log names the port, or says that none is free.
    void listen();
    /// @brief The metrics when @p path asks for them.
    std::optional<std::string> textFor(const std::string &path) const;

private:
    NodeCore &m_core;
    std::function<ServingGauges()> m_gauges;
    ReadinessServer m_server;
};

} // namespace celeryroute
