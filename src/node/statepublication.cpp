#include <celeryroute/detail/node/statepublication.h>

#include <algorithm>

namespace celeryroute {

namespace {

/// Interval at which entries hear of a target that does not change.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(900);
/// Least interval between messages that differ in the load only, for few entries.
constexpr Duration LoadInterval = std::chrono::milliseconds(150);
/// Longest interval between whole states. They also name the entries to each other.
constexpr Duration StateInterval = 3 * HeartbeatInterval;
/// Least interval between whole states to all entries, for each entry beyond EntriesAtBasicIntervals.
constexpr Duration StateIntervalPerEntry = std::chrono::milliseconds(1);
constexpr std::size_t EntriesAtBasicIntervals = 16;
/// Time within which a state reaches an entry and a message that the entry sent earlier arrives.
constexpr Duration StateDelivery = std::chrono::milliseconds(200);

Duration loadInterval(std::size_t entries)
{
    const auto count = static_cast<std::int64_t>(std::max(entries, EntriesAtBasicIntervals));
    return std::min(HeartbeatInterval, LoadInterval * count / static_cast<std::int64_t>(EntriesAtBasicIntervals));
}

Duration changeInterval(std::size_t entries)
{
    const std::size_t more = entries > EntriesAtBasicIntervals ? entries - EntriesAtBasicIntervals : 0;
    return StateIntervalPerEntry * static_cast<std::int64_t>(more);
}

} // namespace

Publication
StatePublication::due(const TargetStatus &status, std::uint64_t version, std::size_t entries, TimePoint now) const
{
    if (now >= changeDue(version, entries) || now - m_stateToAllAt >= StateInterval
        || status.cacheTotal != m_published.cacheTotal) {
        return Publication::StateToAll;
    }
    if (version != m_versionToWaiting) {
        return Publication::State;
    }
    const bool loadChanged = status.queued != m_published.queued || status.active != m_published.active
        || status.cacheUsed != m_published.cacheUsed;
    return now - m_publishedAt >= (loadChanged ? loadInterval(entries) : HeartbeatInterval) ? Publication::Load
                                                                                            : Publication::None;
}

TimePoint StatePublication::changeDue(std::uint64_t version, std::size_t entries) const
{
    return version == m_versionToAll ? TimePoint::max() : m_stateToAllAt + changeInterval(entries);
}

void StatePublication::notePublished(Publication publication,
                                     const TargetStatus &status,
                                     std::uint64_t version,
                                     TimePoint now)
{
    if (publication == Publication::StateToAll) {
        m_versionToAll = version;
        m_stateToAllAt = now;
    }
    if (publication == Publication::StateToAll || publication == Publication::State) {
        m_versionToWaiting = version;
    }
    if (publication == Publication::StateToAll || publication == Publication::Load) {
        m_published = status;
        m_publishedAt = now;
    }
}

bool StatePublication::needsState(std::uint64_t version, TimePoint now) const
{
    return version != m_versionToAll && now - m_stateToAllAt >= StateDelivery;
}

} // namespace celeryroute
