#pragma once

#include <celeryroute/error.h>

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// The words of a command line and environment, before any value is checked.
struct ParsedSettings {
    std::map<std::string, std::string> values; ///< By setting name; switches hold "true".
    std::vector<std::string> arguments; ///< Words that belong to no flag.
    std::vector<Error> errors;
    std::string helpText;
    bool helpWanted = false;
    bool versionWanted = false;
    bool checkWanted = false;
    bool operator==(const ParsedSettings &) const = default;
};

} // namespace celeryroute
