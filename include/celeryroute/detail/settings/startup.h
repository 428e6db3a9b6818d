#pragma once

#include <celeryroute/detail/settings/exitcode.h>
#include <celeryroute/detail/settings/settingreader.h>

#include <optional>

namespace celeryroute {

/// @brief Prints help or version when wanted; the program then ends with the returned code.
std::optional<ExitCode> answerHelp(const std::string &program, const ParsedSettings &parsed);

/// @brief Prints each error of @p reader on a line of standard error, or `settings are valid` for
/// `--check`; the program then ends with the returned code.
std::optional<ExitCode> answerCheck(const ParsedSettings &parsed, const SettingReader &reader);

/// @brief Prints the line `{"ready": true, ...}` that tells scripts which ports were opened.
void printReady(const std::string &listen, const std::string &peer);

} // namespace celeryroute
