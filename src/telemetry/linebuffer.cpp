#include <celeryroute/detail/telemetry/linebuffer.h>

#include <algorithm>
#include <cerrno>
#include <unistd.h>

namespace celeryroute {

LineBuffer::LineBuffer(std::size_t capacity)
    : m_capacity(capacity)
{}

bool LineBuffer::commit()
{
    if (m_bytes.size() >= m_capacity) {
        m_bytes.resize(m_committed);
        ++m_dropped;
        return false;
    }
    m_bytes += '\n';
    m_committed = m_bytes.size();
    return true;
}

void LineBuffer::flush(int descriptor)
{
    std::size_t written = 0;
    while (written < m_committed) {
        const ssize_t count = ::write(descriptor, m_bytes.data() + written, m_committed - written);
        if (count >= 0) {
            written += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            break;
        } else if (errno != EINTR) {
            removeWritten(written);
            discard();
            return;
        }
    }
    removeWritten(written);
}

void LineBuffer::removeWritten(std::size_t written)
{
    m_bytes.erase(0, written);
    m_committed -= written;
}

void LineBuffer::discard()
{
    m_dropped += static_cast<std::uint64_t>(std::count(m_bytes.begin(), m_bytes.end(), '\n'));
    m_bytes.clear();
    m_committed = 0;
}

} // namespace celeryroute
