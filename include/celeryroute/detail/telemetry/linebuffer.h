#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Whole lines on their way to a descriptor that may take only some of them.
class LineBuffer
{
public:
    explicit LineBuffer(std::size_t capacity);

    /// @brief Where the next line is written; ends with commit().
    std::string &line()
    {
        return m_bytes;
    }
    /// @brief Keeps what was appended to line() as one line; drops and counts it when there is no room.
    bool commit();
    /// @brief Writes as much as @p descriptor takes without waiting.
    void flush(int descriptor);
    bool empty() const
    {
        return m_bytes.empty();
    }
    /// @brief Lines that were dropped since the start.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    void release(std::size_t written);
    void discard();

    const std::size_t m_capacity;
    std::string m_bytes;
    std::size_t m_committed = 0; ///< Bytes of whole lines.
    std::uint64_t m_dropped = 0;
};

} // namespace celeryroute
