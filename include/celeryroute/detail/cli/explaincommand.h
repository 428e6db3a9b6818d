#pragma once

#include <celeryroute/detail/settings/startup.h>

#include <ostream>
#include <string>
#include <vector>

namespace celeryroute {

/// What `celeryctl explain` was asked to show.
struct ExplainOptions {
    std::string request;
    std::vector<std::string> files; ///< Logs of processes; `-` is standard input.
    bool json = false;
    bool operator==(const ExplainOptions &) const = default;
};

/// @brief Prints the story of one request from the logs of several processes. Refused when a file
/// cannot be read or no line is about the request.
ExitCode runExplain(const ExplainOptions &options, std::ostream &out, std::ostream &err);

} // namespace celeryroute
