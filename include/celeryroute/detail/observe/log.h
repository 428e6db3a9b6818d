#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace celeryroute {

enum class LogLevel { Debug, Info, Warning, Error };

/// Which process writes the log; part of every line.
struct LogIdentity {
    std::string role;
    std::string host;
    std::string instance;
    bool operator==(const LogIdentity &) const = default;
};

/// A named value of one line, e.g. {"request", id}.
using LogField = std::pair<const char *, std::string>;

/// @brief Sends JSON lines to standard error from @p level (debug, info, warning or error) upwards.
void configureLog(const std::string &level, const LogIdentity &identity);

/// @brief Writes one line; @p fields appear in its `context_map`.
void writeLog(LogLevel level, const std::string &message, std::initializer_list<LogField> fields = {});

} // namespace celeryroute
