#pragma once

#include <celeryroute/detail/node/platformtranslation.h>
#include <celeryroute/result.h>

#include <string>

namespace celeryroute {

/// @brief Returns the text of a settings file; fails with error 102 if it cannot be read.
Result<std::string> readSettingsFile(const std::string &path);

/// @brief Runs the role given in the settings file until the process is stopped; returns the exit status.
int runNode(const std::string &settingsFile, const PlatformTranslation &translation);

} // namespace celeryroute
