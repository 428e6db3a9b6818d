#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <string>

namespace celeryroute {

/// Settings of one agent.
struct AgentSettings {
    std::string host;
    std::string domain; ///< Failure domain.
    std::string incarnation; ///< Unique per start of the process.
    std::string pool;
    std::string targetUrl; ///< `http://ip:port` of the target beside this agent.
    std::string peerEndpoint = "127.0.0.1:0"; ///< `ip:port` where other processes connect.
    std::string serviceHealthPath = "/healthz"; ///< Probed at plain services.
    /// A call to the target that brings no byte for this long is cut and tried on a new connection.
    Duration progressTimeout = std::chrono::seconds(5);
    Duration orderTimeout = std::chrono::seconds(60); ///< For a load order's answer.
    /// Time after which an order whose connection has ended can no longer begin to take effect.
    Duration orderSettleTime = std::chrono::seconds(2);
    Duration healthInterval = std::chrono::seconds(1);
    Duration stopTimeout = std::chrono::seconds(60); ///< For running work after requestStop().
    Duration releaseTimeout = std::chrono::seconds(10); ///< For unloading and releasing grants after that.
    std::size_t maxQueuedBytes = 64U << 20U;
    bool pacedLoads = false; ///< Loads wait for a slot of the pool's pacer.
    bool operator==(const AgentSettings &) const = default;
};

} // namespace celeryroute
