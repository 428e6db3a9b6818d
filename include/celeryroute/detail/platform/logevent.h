#pragma once

#include <celeryroute/detail/platform/logoutcome.h>
#include <celeryroute/time.h>

#include <variant>

namespace celeryroute {

/// A read has ended.
struct LogReadDone {
    LogRead read;
    ReadOutcome outcome;
    TimePoint startedAt; ///< The outcome is at least as new as this.
};

/// An append has ended.
struct LogAppendDone {
    std::string recordId;
    AppendOutcome outcome;
};

using LogEvent = std::variant<LogReadDone, LogAppendDone>;

} // namespace celeryroute
