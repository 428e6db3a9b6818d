#include <celeryroute/detail/gateway/answerbuffers.h>

#include <algorithm>

namespace celeryroute {

// What is free of the total bounds each answer. The longest answers exceed it first when the total fills, and many
// endless ones settle at equal parts, so an answer of usual length is not cut off for the sake of others.
std::size_t AnswerBuffers::share() const
{
    const std::size_t free = m_bounds.totalBytes - std::min(m_held, m_bounds.totalBytes);
    return std::max(free, GuaranteedBytes);
}

AnswerBuffers::Holding::~Holding()
{
    setBytes(0);
}

void AnswerBuffers::Holding::setBytes(std::size_t bytes)
{
    m_buffers.m_held += bytes - m_bytes; // The sum is right also when the difference wraps.
    m_bytes = bytes;
}

} // namespace celeryroute
