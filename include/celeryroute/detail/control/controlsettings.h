#pragma once

#include <celeryroute/detail/state/statefollower.h>

#include <string>

namespace celeryroute {

/// Settings of a process's control thread.
struct ControlSettings {
    std::string host; ///< Name of this host in the host list.
    std::string instance; ///< Incarnation of this process; see instanceName().
    std::string logUrl;
    std::string hostsUrl;
    Duration logTimeout = std::chrono::seconds(3); ///< For one call to the log, beyond its own wait.
    Duration hostsInterval = std::chrono::milliseconds(500);
    Duration hostsTimeout = std::chrono::seconds(2);
    FollowerSettings follower;
};

/// @brief A new incarnation of a process on @p host; unique, and names the host.
std::string newInstanceName(const std::string &host);

/// @brief The host that @p instance runs on.
std::string hostOfInstance(const std::string &instance);

} // namespace celeryroute
