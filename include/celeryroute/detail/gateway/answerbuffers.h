#pragma once

#include <celeryroute/detail/gateway/answerbounds.h>

#include <cstddef>

namespace celeryroute {

/// Bounds the bytes of targets' answers that are buffered at the same time.
class AnswerBuffers
{
public:
    /// Bytes that every answer may hold, however many others are held.
    static constexpr std::size_t GuaranteedBytes = std::size_t{64} * 1024;

    void useBounds(const AnswerBounds &bounds)
    {
        m_bounds = bounds;
    }
    const AnswerBounds &bounds() const
    {
        return m_bounds;
    }
    /// @brief Bytes held by all answers.
    std::size_t held() const
    {
        return m_held;
    }
    /// @brief Most bytes that one answer may hold now, as far as the total is concerned.
    std::size_t share() const;

    /// The bytes that one answer holds.
    class Holding
    {
    public:
        explicit Holding(AnswerBuffers &buffers)
            : m_buffers(buffers)
        {}
        ~Holding();
        Holding(const Holding &) = delete;
        Holding &operator=(const Holding &) = delete;

        void setBytes(std::size_t bytes);

    private:
        AnswerBuffers &m_buffers;
        std::size_t m_bytes = 0;
    };

private:
    AnswerBounds m_bounds;
    std::size_t m_held = 0;
};

} // namespace celeryroute
