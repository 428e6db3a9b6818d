#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace celeryroute {

/// Part of an answer with its sequence number.
struct SequencedChunk {
    std::uint64_t sequence = 0;
    std::string data;
    bool operator==(const SequencedChunk &) const = default;
};

/// @brief Keeps the chunks of one answer until the receiver acknowledges them.
class ChunkLog
{
public:
    explicit ChunkLog(std::size_t maxBytes);

    /// @brief Appends @p data with the next sequence number. Discards the oldest chunks above the size limit.
    const SequencedChunk &append(std::string data);
    /// @brief Discards all chunks before @p nextSequence.
    void acknowledge(std::uint64_t nextSequence);
    /// @brief Returns the chunks from @p sequence on, or nothing if some of them were discarded.
    std::vector<SequencedChunk> from(std::uint64_t sequence) const;
    /// @brief Returns whether all chunks from @p sequence on are still kept.
    bool has(std::uint64_t sequence) const;
    std::uint64_t nextSequence() const;
    std::size_t bytes() const;
    /// @brief Bytes that the receiver lacked at its last acknowledgement, and all since then, also discarded ones.
    std::size_t unacknowledgedBytes() const;

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::size_t m_unacknowledgedBytes = 0;
    std::uint64_t m_acknowledged = 0; ///< Chunks before this one.
    std::uint64_t m_next = 0;
    std::deque<SequencedChunk> m_chunks;
};

} // namespace celeryroute
