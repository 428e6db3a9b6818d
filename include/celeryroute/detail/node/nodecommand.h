#pragma once

#include <celeryroute/detail/node/platformtranslation.h>

#include <string>
#include <vector>

namespace celeryroute {

/// Names the settings file of a process.
constexpr const char *SettingsFileVariable = "CELERYROUTE_CONFIG";

/// @brief Acts on the words of the command line: runs the role that the settings file names, checks that
/// file, or prints help or the version. Returns the exit status.
int runNodeCommand(const std::vector<std::string> &words,
                   const std::string &settingsFile,
                   const PlatformTranslation &translation);

} // namespace celeryroute
