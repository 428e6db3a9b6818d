#pragma once

#include <celeryroute/result.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace celeryroute {

/// Records from one offset on, and the range that is kept.
struct RecordRange {
    std::uint64_t first = 0; ///< Oldest offset kept.
    std::uint64_t next = 0; ///< Offset after the last record returned.
    std::vector<std::string> records;
    bool operator==(const RecordRange &) const = default;
};

/// @brief Records by offset, of which the newest are kept, and the pace at which more are taken.
class RecordLog
{
public:
    RecordLog(std::size_t retention, double appendsPerSecond);

    /// @brief When an append that arrives at @p now takes effect; fails with LogUnavailable when
    /// too many wait already.
    Result<TimePoint> reserveAppend(TimePoint now);
    std::uint64_t append(std::string record);
    /// @brief Fails with LogTruncated when @p from is older than the first record kept.
    Result<RecordRange> read(std::uint64_t from, std::size_t most) const;
    std::uint64_t first() const;
    std::uint64_t end() const;

private:
    const std::size_t m_retention;
    const Duration m_appendInterval;
    TimePoint m_nextAppend;
    std::uint64_t m_first = 0;
    std::deque<std::string> m_records;
};

} // namespace celeryroute
