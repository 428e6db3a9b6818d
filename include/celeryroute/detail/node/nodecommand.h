#pragma once

#include <celeryroute/detail/node/platformtranslation.h>

#include <string>
#include <vector>

namespace celeryroute {

/// Environment variable with the path of the settings file.
constexpr const char *SettingsFileVariable = "CELERYROUTE_CONFIG";

/// @brief Handles the command-line arguments: runs the role given in the settings file, checks that file, or
/// prints the help or the version. Returns the exit status.
int runNodeCommand(const std::vector<std::string> &words,
                   const std::string &settingsFile,
                   const PlatformTranslation &translation);

} // namespace celeryroute
