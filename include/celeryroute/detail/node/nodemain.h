#pragma once

#include <celeryroute/detail/node/platformtranslation.h>
#include <celeryroute/result.h>

#include <string>

namespace celeryroute {

/// @brief The text of a settings file; error 102 when it cannot be read.
Result<std::string> readSettingsFile(const std::string &path);

/// @brief Runs the role that the settings file names until it is stopped; returns the exit status.
int runNode(const std::string &settingsFile, const PlatformTranslation &translation);

} // namespace celeryroute
