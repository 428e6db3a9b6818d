#include <celeryroute/detail/node/settingsfilewatcher.h>

#include <sys/stat.h>
#include <utility>

namespace celeryroute {

namespace {

constexpr Duration CheckInterval = std::chrono::seconds(2);
/// A changed file is read after its metadata have been the same for this time.
constexpr Duration SettleTime = std::chrono::milliseconds(200);

} // namespace

SettingsFileWatcher::SettingsFileWatcher(std::string path, TimePoint now)
    : m_path(std::move(path))
    , m_read(readMetadata())
    , m_seen(m_read)
    , m_nextCheck(now + CheckInterval)
{}

bool SettingsFileWatcher::hasChanged(TimePoint now)
{
    if (now < m_nextCheck) {
        return false;
    }
    const FileMetadata before = std::exchange(m_seen, readMetadata());
    const bool differs = m_seen != m_read;
    const bool settled = m_seen == before;
    m_nextCheck = now + (differs && !settled ? SettleTime : CheckInterval);
    return differs && settled;
}

void SettingsFileWatcher::markRead()
{
    m_read = readMetadata();
    m_seen = m_read;
}

// Returns a distinct value for a missing file.
SettingsFileWatcher::FileMetadata SettingsFileWatcher::readMetadata() const
{
    struct stat status {};
    if (::stat(m_path.c_str(), &status) != 0) {
        return {};
    }
    return {status.st_dev, status.st_ino, status.st_size, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

} // namespace celeryroute
