#pragma once

#include <celeryroute/detail/settings/parsedsettings.h>
#include <celeryroute/detail/settings/settingspec.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Reads flags and environment variables by a table of settings; flags win.
///
/// Adds `--help`, `--version` and `--check` to every table.
class SettingsParser
{
public:
    /// @param usage the words after the program's name in the help text, e.g. `apply FILE...`.
    SettingsParser(std::string program, std::string usage, std::vector<SettingSpec> specs);

    /// @brief Never fails; mistakes are listed in ParsedSettings::errors with codes 101 to 104.
    ParsedSettings parse(const std::vector<std::string> &words,
                         const std::map<std::string, std::string> &environment) const;

private:
    std::string m_program;
    std::string m_usage;
    std::vector<SettingSpec> m_specs;
};

/// @brief The environment of this process.
std::map<std::string, std::string> processEnvironment();

/// @brief The words of main() after the program's name.
std::vector<std::string> commandLineWords(int argc, char **argv);

} // namespace celeryroute
