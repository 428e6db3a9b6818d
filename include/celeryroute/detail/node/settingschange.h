#pragma once

#include <celeryroute/detail/node/nodesettings.h>

#include <string>
#include <vector>

namespace celeryroute {

/// @brief Effect of changed settings on a running process.
struct SettingsChange {
    NodeSettings settings; ///< Settings to apply.
    std::vector<std::string> changed; ///< Names of settings that take effect immediately.
    std::vector<std::string> nextStart; ///< Names of settings that take effect at the next start.
    bool operator==(const SettingsChange &) const = default;
};

/// @brief Compares the settings in force with those that were read.
///
/// The identity and role of the process and the addresses that it has bound or announced keep their values until
/// the next start.
SettingsChange compareSettings(const NodeSettings &inForce, const NodeSettings &read);

} // namespace celeryroute
