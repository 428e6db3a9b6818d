#pragma once

#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/readinessserver.h>
#include <celeryroute/detail/telemetry/servinggauges.h>

#include <functional>
#include <optional>
#include <string>

namespace celeryroute {

/// @brief Serves the metrics of this process on the first free port above its peer port.
class MetricsServer
{
public:
    MetricsServer(NodeCore &core, std::function<ServingGauges()> gauges);

    /// @brief Starts to listen; logs the port, or that no port is free.
    void listen();
    /// @brief Returns the metrics if @p path is the path of the metrics.
    std::optional<std::string> textFor(const std::string &path) const;

private:
    NodeCore &m_core;
    std::function<ServingGauges()> m_gauges;
    ReadinessServer m_server;
};

} // namespace celeryroute
