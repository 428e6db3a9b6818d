#include <celeryroute/detail/placement/poolversions.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t MaxVersions = 64; ///< Remembered for each pool.
/// Entries repeat to each other what they heard, and each message adds its delay. Smaller differences are ignored, so
/// that the delays don't add up.
constexpr Duration SightingTolerance = std::chrono::seconds(5);

} // namespace

void PoolVersions::targetAdded(const std::string &pool, const std::string &version, TimePoint now)
{
    Sighting &sighting = m_pools[pool][version];
    ++sighting.targets;
    sighting.lastSeen = std::max(sighting.lastSeen, now);
    std::map<std::string, Sighting> &versions = m_pools[pool];
    if (versions.size() > MaxVersions) {
        const auto oldest = std::min_element(versions.begin(), versions.end(), [](const auto &left, const auto &right) {
            return std::pair(left.second.targets > 0, left.second.lastSeen)
                < std::pair(right.second.targets > 0, right.second.lastSeen);
        });
        if (oldest->second.targets == 0) {
            versions.erase(oldest);
        }
    }
}

void PoolVersions::targetRemoved(const std::string &pool, const std::string &version, TimePoint now)
{
    Sighting &sighting = m_pools[pool][version];
    sighting.targets -= sighting.targets > 0 ? 1 : 0;
    sighting.lastSeen = std::max(sighting.lastSeen, now);
}

void PoolVersions::merge(const VersionSighting &sighting)
{
    std::map<std::string, Sighting> &versions = m_pools[sighting.pool];
    const auto known = versions.find(sighting.version);
    if (known == versions.end()) {
        if (versions.size() < MaxVersions) {
            versions[sighting.version].lastSeen = sighting.lastSeen;
        }
    } else if (sighting.lastSeen > known->second.lastSeen + SightingTolerance) {
        known->second.lastSeen = sighting.lastSeen;
    }
}

std::vector<std::string> PoolVersions::versions(const std::string &pool, TimePoint since) const
{
    std::vector<std::string> found;
    if (const auto known = m_pools.find(pool); known != m_pools.end()) {
        for (const auto &[version, sighting] : known->second) {
            if (sighting.isSince(since)) {
                found.push_back(version);
            }
        }
    }
    return found;
}

std::vector<VersionSighting> PoolVersions::mixedPools(TimePoint since, TimePoint now) const
{
    std::vector<VersionSighting> found;
    for (const auto &[pool, versions] : m_pools) {
        const auto isRecent = [since](const auto &version) { return version.second.isSince(since); };
        if (std::count_if(versions.begin(), versions.end(), isRecent) < 2) {
            continue;
        }
        for (const auto &[version, sighting] : versions) {
            if (sighting.isSince(since)) {
                found.push_back({pool, version, sighting.targets > 0 ? now : sighting.lastSeen});
            }
        }
    }
    return found;
}

} // namespace celeryroute
