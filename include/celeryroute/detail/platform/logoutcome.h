#pragma once

#include <celeryroute/error.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// The record stands at @p offset of the log.
struct Appended {
    std::uint64_t offset = 0;
    bool operator==(const Appended &) const = default;
};

/// The record was not and will not be appended by this attempt.
struct NotAppended {
    Error error;
    bool operator==(const NotAppended &) const = default;
};

/// The answer was lost; the record may be in the log, or may get there late.
struct AppendInDoubt {
    Error error;
    bool operator==(const AppendInDoubt &) const = default;
};

using AppendOutcome = std::variant<Appended, NotAppended, AppendInDoubt>;

/// Records in offset order; the last one stands at `next - 1`.
struct LogBatch {
    std::uint64_t first = 0; ///< Oldest offset that the log keeps.
    std::uint64_t next = 0;
    std::vector<std::string> records;
    bool operator==(const LogBatch &) const = default;
};

/// The log does not keep the offset asked for any more.
struct LogForgotten {
    std::uint64_t first = 0; ///< Oldest offset that the log keeps.
    bool operator==(const LogForgotten &) const = default;
};

struct LogUnreachable {
    Error error;
    bool operator==(const LogUnreachable &) const = default;
};

using ReadOutcome = std::variant<LogBatch, LogForgotten, LogUnreachable>;

/// What to read from the log.
struct LogRead {
    std::uint64_t from = 0;
    std::uint32_t maxRecords = 0;
    std::uint32_t waitMs = 0; ///< How long the log may wait for a record at `from`.
    bool operator==(const LogRead &) const = default;
};

} // namespace celeryroute
