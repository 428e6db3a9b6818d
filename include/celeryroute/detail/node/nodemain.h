#pragma once

#include <celeryroute/detail/node/platformtranslation.h>

#include <string>

namespace celeryroute {

/// @brief Runs the role that the settings file names until it is stopped; returns the exit status.
int runNode(const std::string &settingsFile, const PlatformTranslation &translation);

} // namespace celeryroute
