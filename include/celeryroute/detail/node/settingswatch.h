#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// @brief Notices that a settings file has changed, without any signal.
///
/// Costs one look at the file's times every few seconds, and only when the process is awake anyway.
class SettingsWatch
{
public:
    SettingsWatch(std::string path, TimePoint now);

    /// @brief Whether the file should be read again. To be asked at any time; a file that is being
    /// written counts as changed when two looks in a row have found it the same.
    bool changed(TimePoint now);

    /// @brief The file is about to be read: only what changes from now on counts.
    void noteRead();

private:
    /// What tells one writing of a file from another.
    struct Mark {
        std::uint64_t device = 0;
        std::uint64_t file = 0;
        std::int64_t size = -1;
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        bool operator==(const Mark &) const = default;
    };

    Mark look() const;

    std::string m_path;
    Mark m_read;
    Mark m_seen;
    TimePoint m_nextLook;
};

} // namespace celeryroute
