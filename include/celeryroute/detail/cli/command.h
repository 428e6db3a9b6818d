#pragma once

#include <celeryroute/detail/cli/logsession.h>
#include <celeryroute/detail/settings/startup.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace celeryroute {

/// What `celeryctl` was asked to do.
struct CommandOptions {
    std::vector<std::string> words; ///< The command and its arguments.
    std::string author; ///< Recorded with each change.
    std::string customer; ///< Of a granted key, unless an argument names it.
    std::string label; ///< Of a granted key.
    bool json = false;
    bool prune = false;
    Duration timeout = std::chrono::seconds(10);
};

/// Where a command writes and what it reads.
struct CommandContext {
    std::ostream &out;
    std::ostream &err;
    std::function<LogClient()> openLog;
    SessionClock clock;
    std::function<WallTime()> wallTime;
};

/// @brief Runs one command of `celeryctl`.
ExitCode runCommand(const CommandOptions &options, CommandContext &context);

/// @brief The commands, one a line, for the help text.
std::string commandHelp();

} // namespace celeryroute
