#pragma once

#include <records.pb.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace celeryroute {

/// @brief The newest records folded, bounded in number and bytes, for peers that lag.
class RecordRing
{
public:
    static constexpr std::size_t MaxRecords = 4096;
    static constexpr std::size_t MaxBytes = std::size_t{4} * 1024 * 1024;

    /// @brief Adds the record at @p offset; drops all others when it does not follow the newest.
    void add(std::uint64_t offset, proto::LogRecord record);
    /// @brief Records from @p offset on, at most @p maxBytes of them but at least one; nothing when
    /// `offset` is not kept.
    std::optional<std::vector<proto::LogRecord>> from(std::uint64_t offset, std::size_t maxBytes) const;

private:
    struct Entry {
        proto::LogRecord record;
        std::size_t bytes = 0;
    };

    std::deque<Entry> m_entries;
    std::uint64_t m_first = 0;
    std::size_t m_bytes = 0;
};

} // namespace celeryroute
