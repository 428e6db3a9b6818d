#include <celeryroute/detail/platform/memoryhostlist.h>

#include <utility>

namespace celeryroute {

MemoryHostList::MemoryHostList()
    : m_shared(std::make_shared<Shared>())
{}

Result<std::vector<HostEntry>> MemoryHostList::read()
{
    absl::MutexLock lock(&m_shared->mutex);
    if (!m_shared->available) {
        return fail(ResultCode::PlatformUnavailable, "the host list is down");
    }
    return m_shared->entries;
}

void MemoryHostList::setEntries(std::vector<HostEntry> entries)
{
    absl::MutexLock lock(&m_shared->mutex);
    m_shared->entries = std::move(entries);
}

void MemoryHostList::setAvailable(bool available)
{
    absl::MutexLock lock(&m_shared->mutex);
    m_shared->available = available;
}

} // namespace celeryroute
