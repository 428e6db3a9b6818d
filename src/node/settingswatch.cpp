#include <celeryroute/detail/node/settingswatch.h>

#include <sys/stat.h>
#include <utility>

namespace celeryroute {

namespace {

constexpr Duration LookInterval = std::chrono::seconds(2);
/// A changed file is read after its metadata have been the same for this time.
constexpr Duration SettleTime = std::chrono::milliseconds(200);

} // namespace

SettingsWatch::SettingsWatch(std::string path, TimePoint now)
    : m_path(std::move(path))
    , m_read(look())
    , m_seen(m_read)
    , m_nextLook(now + LookInterval)
{}

bool SettingsWatch::changed(TimePoint now)
{
    if (now < m_nextLook) {
        return false;
    }
    const Mark before = std::exchange(m_seen, look());
    const bool differs = m_seen != m_read;
    const bool settled = m_seen == before;
    m_nextLook = now + (differs && !settled ? SettleTime : LookInterval);
    return differs && settled;
}

void SettingsWatch::noteRead()
{
    m_read = look();
    m_seen = m_read;
}

// Returns a distinct value for a missing file.
SettingsWatch::Mark SettingsWatch::look() const
{
    struct stat status {};
    if (::stat(m_path.c_str(), &status) != 0) {
        return {};
    }
    return {status.st_dev, status.st_ino, status.st_size, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

} // namespace celeryroute
