#pragma once

#include <celeryroute/detail/platform/logoutcome.h>

#include <cstdint>
#include <string>
#include <variant>

namespace celeryroute {

/// Reads the log; at most one read is in progress at a time.
struct ReadLog {
    LogRead read;
};

/// Appends a record to the log.
struct AppendToLog {
    std::string recordId;
    std::string bytes;
};

/// Queries @p peer for its records from an offset on, or for its state.
struct QueryPeer {
    std::string peer;
    std::uint64_t fromOffset = 0;
};

using FollowerAction = std::variant<ReadLog, AppendToLog, QueryPeer>;

} // namespace celeryroute
