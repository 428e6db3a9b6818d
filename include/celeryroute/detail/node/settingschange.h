#pragma once

#include <celeryroute/detail/node/nodesettings.h>

#include <string>
#include <vector>

namespace celeryroute {

/// What other settings change in a running process.
struct SettingsChange {
    NodeSettings settings; ///< To be in force from now on.
    std::vector<std::string> changed; ///< Names of settings that are in force at once.
    std::vector<std::string> nextStart; ///< Names of those that only a new process takes over.
    bool operator==(const SettingsChange &) const = default;
};

/// @brief Compares what was read with what is in force. What a process is, and the addresses that it
/// has bound or told others, stay as they are.
SettingsChange compareSettings(const NodeSettings &inForce, const NodeSettings &read);

} // namespace celeryroute
