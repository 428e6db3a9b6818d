#pragma once

#include <celeryroute/detail/platform/logoutcome.h>

#include <cstdint>
#include <string>
#include <variant>

namespace celeryroute {

/// Read the log; one read is under way at a time.
struct ReadLog {
    LogRead read;
};

/// Append a record.
struct AppendToLog {
    std::string recordId;
    std::string bytes;
};

/// Ask @p peer for its records or state from an offset on.
struct QueryPeer {
    std::string peer;
    std::uint64_t fromOffset = 0;
};

using FollowerAction = std::variant<ReadLog, AppendToLog, QueryPeer>;

} // namespace celeryroute
