#pragma once

#include <records.pb.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace celeryroute {

/// @brief The most recently folded records, limited in number and bytes, for peers that lag behind.
class RecordRing
{
public:
    static constexpr std::size_t MaxRecords = 4096;
    static constexpr std::size_t MaxBytes = std::size_t{4} * 1024 * 1024;

    /// @brief Adds the record at @p offset; drops all others if it does not directly follow the newest.
    void add(std::uint64_t offset, proto::LogRecord record);
    /// @brief Returns the records from @p offset on, limited to @p maxBytes but at least one if there
    /// are any; nullopt if @p offset is not in the buffer.
    std::optional<std::vector<proto::LogRecord>> recordsFrom(std::uint64_t offset, std::size_t maxBytes) const;

private:
    struct Entry {
        proto::LogRecord record;
        std::size_t bytes = 0;
    };

    std::deque<Entry> m_entries;
    std::uint64_t m_firstOffset = 0;
    std::size_t m_bytes = 0;
};

} // namespace celeryroute
