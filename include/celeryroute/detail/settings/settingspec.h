#pragma once

#include <string>

namespace celeryroute {

/// One setting: the flag `--name` and the environment variable `CELERYROUTE_NAME`.
struct SettingSpec {
    std::string name; ///< Lower case with dashes.
    std::string placeholder; ///< Shown in the help text; empty for a switch.
    std::string defaultValue; ///< Empty when there is none.
    std::string help;
    bool isSwitch() const
    {
        return placeholder.empty();
    }
    bool operator==(const SettingSpec &) const = default;
};

/// @brief The environment variable of the setting @p name, e.g. `CELERYROUTE_LOG_URL`.
std::string environmentName(const std::string &name);

} // namespace celeryroute
