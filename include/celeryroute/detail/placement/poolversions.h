#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// A software version that served in a pool.
struct VersionSighting {
    std::string pool;
    std::string version;
    TimePoint lastSeen;
    bool operator==(const VersionSighting &) const = default;
};

/// Software versions of the registered targets of each pool, now and in the past.
class PoolVersions
{
public:
    /// @brief Records that a target of @p pool registered with @p version.
    void targetAdded(const std::string &pool, const std::string &version, TimePoint now);
    void targetRemoved(const std::string &pool, const std::string &version, TimePoint now);
    /// @brief Records what another entry knows.
    void merge(const VersionSighting &sighting);

    /// @brief Versions that have served in @p pool at @p since or later.
    std::vector<std::string> versions(const std::string &pool, TimePoint since) const;
    /// @brief Versions of the pools in which two or more have served at @p since or later.
    std::vector<VersionSighting> mixedPools(TimePoint since, TimePoint now) const;

private:
    struct Sighting {
        std::size_t targets = 0; ///< Registered now.
        TimePoint lastSeen;
        bool isSince(TimePoint since) const
        {
            return targets > 0 || lastSeen >= since;
        }
    };

    std::map<std::string, std::map<std::string, Sighting>> m_pools;
};

} // namespace celeryroute
