#include <celeryroute/detail/node/metricsserver.h>

#include <celeryroute/detail/node/processgauges.h>

namespace celeryroute {

MetricsServer::MetricsServer(NodeCore &core, std::function<ServingGauges()> gauges)
    : m_core(core)
    , m_gauges(std::move(gauges))
    , m_server(
          core.loop,
          core.translation.readinessPath,
          [] { return true; },
          [this](const std::string &path) { return textFor(path); })
{}

// If no port is free, the process runs without serving metrics.
void MetricsServer::listen()
{
    const std::uint32_t ip = parseIp(m_core.settings.ip).value_or(0);
    for (std::uint32_t port = m_core.settings.firstPeerPort + 1U; port <= m_core.settings.lastPeerPort; ++port) {
        if (m_server.listen({ip, static_cast<std::uint16_t>(port)})) {
            m_core.log.write(DecisionEvent::MetricsServed, m_core.loop.now(), {{"port", port}});
            return;
        }
    }
    m_core.log.write(DecisionEvent::MetricsServed, m_core.loop.now(), {{fieldnames::Reason, "no_free_port"}});
}

std::optional<std::string> MetricsServer::textFor(const std::string &path) const
{
    if (path != MetricsPath) {
        return std::nullopt;
    }
    return m_core.metrics.exposition(m_gauges());
}

} // namespace celeryroute
