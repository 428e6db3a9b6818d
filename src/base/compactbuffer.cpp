#include <celeryroute/detail/base/compactbuffer.h>

#include <algorithm>

namespace celeryroute {

// A string that grows by itself, also by reserve(), has room for twice its content.
void appendCompactly(std::string &buffer, std::string_view bytes)
{
    constexpr std::size_t SmallBytes = 4096;
    constexpr std::size_t ExtraParts = 8;
    if (buffer.size() + bytes.size() > buffer.capacity() && buffer.size() >= SmallBytes) {
        std::string grown;
        grown.reserve(buffer.size() + std::max(bytes.size(), buffer.size() / ExtraParts));
        grown.append(buffer);
        buffer.swap(grown);
    }
    buffer.append(bytes);
}

void release(std::string &buffer)
{
    std::string().swap(buffer);
}

} // namespace celeryroute
