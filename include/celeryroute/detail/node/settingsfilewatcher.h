#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Detects by polling that a settings file has changed.
///
/// Costs one check of the file's metadata every few seconds, and only when the process is awake anyway.
class SettingsFileWatcher
{
public:
    SettingsFileWatcher(std::string path, TimePoint now);

    /// @brief Returns whether the file should be read again; may be called at any time.
    ///
    /// A file that is being written counts as changed only when two successive checks find the same metadata.
    bool hasChanged(TimePoint now);

    /// @brief Records that the file is about to be read; only later changes are reported.
    void markRead();

private:
    /// Metadata that differ between versions of the file.
    struct FileMetadata {
        std::uint64_t device = 0;
        std::uint64_t file = 0;
        std::int64_t size = -1;
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        bool operator==(const FileMetadata &) const = default;
    };

    FileMetadata readMetadata() const;

    std::string m_path;
    FileMetadata m_read;
    FileMetadata m_seen;
    TimePoint m_nextCheck;
};

} // namespace celeryroute
