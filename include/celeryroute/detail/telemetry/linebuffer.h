#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Buffers whole lines for a non-blocking descriptor that may accept only a part of them.
class LineBuffer
{
public:
    explicit LineBuffer(std::size_t capacity);

    /// @brief The buffer to which the next line is appended. commit() completes the line.
    std::string &line()
    {
        return m_bytes;
    }
    /// @brief Completes the line appended to line(). Drops it and returns false if the buffer is full.
    bool commit();
    /// @brief Writes as much as @p descriptor accepts without blocking. Drops all lines on a write error.
    void flush(int descriptor);
    bool empty() const
    {
        return m_bytes.empty();
    }
    /// @brief Number of lines dropped since construction.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    void removeWritten(std::size_t written);
    void discard();

    const std::size_t m_capacity;
    std::string m_bytes;
    std::size_t m_committed = 0; ///< Number of bytes in complete lines.
    std::uint64_t m_dropped = 0;
};

} // namespace celeryroute
