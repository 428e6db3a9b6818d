#include <celeryroute/detail/agent/chunklog.h>

namespace celeryroute {

ChunkLog::ChunkLog(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{}

const SequencedChunk &ChunkLog::append(std::string data)
{
    m_bytes += data.size();
    m_unacknowledgedBytes += data.size();
    m_chunks.push_back(SequencedChunk{m_next++, std::move(data)});
    while (m_bytes > m_maxBytes && m_chunks.size() > 1) {
        m_bytes -= m_chunks.front().data.size();
        m_chunks.pop_front();
    }
    return m_chunks.back();
}

void ChunkLog::acknowledge(std::uint64_t nextSequence)
{
    while (!m_chunks.empty() && m_chunks.front().sequence < nextSequence) {
        m_bytes -= m_chunks.front().data.size();
        m_chunks.pop_front();
    }
    if (nextSequence > m_acknowledged) {
        m_acknowledged = nextSequence;
        m_unacknowledgedBytes = m_bytes;
    }
}

std::vector<SequencedChunk> ChunkLog::from(std::uint64_t sequence) const
{
    if (!has(sequence)) {
        return {};
    }
    const std::uint64_t skipped = m_chunks.empty() ? 0 : sequence - m_chunks.front().sequence;
    return {m_chunks.begin() + static_cast<std::ptrdiff_t>(skipped), m_chunks.end()};
}

bool ChunkLog::has(std::uint64_t sequence) const
{
    if (m_chunks.empty()) {
        return sequence == m_next;
    }
    return sequence >= m_chunks.front().sequence && sequence <= m_next;
}

std::uint64_t ChunkLog::nextSequence() const
{
    return m_next;
}

std::size_t ChunkLog::bytes() const
{
    return m_bytes;
}

std::size_t ChunkLog::unacknowledgedBytes() const
{
    return m_unacknowledgedBytes;
}

} // namespace celeryroute
