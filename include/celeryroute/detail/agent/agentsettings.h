#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <string>

namespace celeryroute {

/// Settings of one agent.
struct AgentSettings {
    std::string host;
    std::string domain; ///< Failure domain.
    std::string incarnation; ///< Unique for each start of the process.
    std::string pool;
    std::string targetUrl; ///< `http://ip:port` of this agent's target.
    std::string peerEndpoint = "127.0.0.1:0"; ///< `ip:port` where other processes connect.
    std::string serviceHealthPath = "/healthz"; ///< Path of the health probe at plain services.
    /// A call to the target that delivers no bytes for this long is aborted and continued on a new connection.
    Duration progressTimeout = std::chrono::seconds(5);
    Duration orderTimeout = std::chrono::seconds(60); ///< Time limit for the answer to a load order.
    /// Time after the end of its connection in which an order may still begin to take effect.
    Duration orderSettleTime = std::chrono::seconds(2);
    Duration healthInterval = std::chrono::seconds(1);
    Duration stopTimeout = std::chrono::seconds(60); ///< Time limit for running attempts after requestStop().
    Duration releaseTimeout = std::chrono::seconds(
        10); ///< Time limit for unloading and releasing grants after stopTimeout.
    std::size_t maxQueuedBytes = 64U << 20U;
    bool pacedLoads = false; ///< Whether each load waits for a load slot of the pool.
    bool operator==(const AgentSettings &) const = default;
};

} // namespace celeryroute
