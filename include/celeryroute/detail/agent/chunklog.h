#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace celeryroute {

/// One piece of an answer.
struct SequencedChunk {
    std::uint64_t sequence = 0;
    std::string data;
    bool operator==(const SequencedChunk &) const = default;
};

/// @brief The chunks of one answer that its receiver has not acknowledged.
class ChunkLog
{
public:
    explicit ChunkLog(std::size_t maxBytes);

    /// @brief Numbers @p data; the oldest chunks are forgotten when more than the limit is kept.
    const SequencedChunk &append(std::string data);
    /// @brief Forgets every chunk before @p nextSequence.
    void acknowledge(std::uint64_t nextSequence);
    /// @brief The chunks from @p sequence on; empty when some of them are forgotten.
    std::vector<SequencedChunk> from(std::uint64_t sequence) const;
    /// @brief Whether every chunk from @p sequence on is kept.
    bool has(std::uint64_t sequence) const;
    std::uint64_t nextSequence() const;
    std::size_t bytes() const;

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_next = 0;
    std::deque<SequencedChunk> m_chunks;
};

} // namespace celeryroute
