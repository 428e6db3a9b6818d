#include <celeryroute/detail/state/recordring.h>

#include <utility>

namespace celeryroute {

void RecordRing::add(std::uint64_t offset, proto::LogRecord record)
{
    if (offset != m_firstOffset + m_entries.size()) {
        m_entries.clear();
        m_bytes = 0;
        m_firstOffset = offset;
    }
    const std::size_t bytes = record.ByteSizeLong();
    m_entries.push_back({std::move(record), bytes});
    m_bytes += bytes;
    while (m_entries.size() > MaxRecords || (m_bytes > MaxBytes && m_entries.size() > 1)) {
        m_bytes -= m_entries.front().bytes;
        m_entries.pop_front();
        ++m_firstOffset;
    }
}

std::optional<std::vector<proto::LogRecord>> RecordRing::recordsFrom(std::uint64_t offset, std::size_t maxBytes) const
{
    if (offset < m_firstOffset || offset > m_firstOffset + m_entries.size()) {
        return std::nullopt;
    }
    std::vector<proto::LogRecord> records;
    std::size_t total = 0;
    for (std::size_t i = offset - m_firstOffset; i < m_entries.size(); ++i) {
        total += m_entries[i].bytes;
        if (!records.empty() && total > maxBytes) {
            break;
        }
        records.push_back(m_entries[i].record);
    }
    return records;
}

} // namespace celeryroute
