#pragma once

#include <celeryroute/detail/settings/settingreader.h>
#include <celeryroute/detail/settings/settingspec.h>
#include <celeryroute/detail/transport/curvekeys.h>

#include <cstddef>
#include <string>
#include <vector>

namespace celeryroute {

enum class DaemonRole { Entry, Agent };

/// Checked settings of celeryrouted.
struct DaemonSettings {
    DaemonRole role = DaemonRole::Entry;
    std::string host;
    std::string domain; ///< Failure domain.
    std::string listen; ///< `ip:port` of the HTTP API.
    std::string peerListen; ///< `ip:port` for other processes.
    std::string logUrl;
    std::string hostsUrl;
    std::string pool; ///< Agents only.
    std::string targetUrl; ///< Agents only.
    CurveKeys curveKeys;
    std::string logLevel;
    int guardPort = 0; ///< Loopback port that one agent of a host holds; 0 for none.
    Duration stopTimeout = Duration::zero();
    std::size_t maxRequests = 0;
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0;
    std::size_t timelineEvents = 0;
    bool operator==(const DaemonSettings &) const = default;
};

/// @brief The table of settings for SettingsParser.
std::vector<SettingSpec> daemonSettingSpecs();

/// @brief Reads and checks all settings; use the result only when @p reader has no errors.
DaemonSettings readDaemonSettings(SettingReader &reader);

} // namespace celeryroute
