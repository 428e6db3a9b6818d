#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/snapshotschedule.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

// At startup, the age of the last snapshot is unknown. Half an interval is assumed so that a fleet whose
// processes are replaced often still writes snapshots.
SnapshotSchedule::SnapshotSchedule(std::string incarnation, SnapshotPolicy policy, TimePoint now)
    : m_incarnation(std::move(incarnation))
    , m_policy(policy)
    , m_lastTime(now - policy.interval / 2)
{}

void SnapshotSchedule::recordSnapshot(std::uint64_t nextOffset, TimePoint now)
{
    m_lastOffset = std::max(m_lastOffset, nextOffset);
    m_lastTime = now;
    m_dueSince = TimePoint::max();
}

bool SnapshotSchedule::isDue(std::uint64_t nextOffset, std::size_t processes, TimePoint now)
{
    const bool old = now - m_lastTime >= m_policy.interval;
    const bool far = nextOffset >= m_lastOffset + m_policy.records;
    if (nextOffset == 0 || (!old && !far)) {
        return false;
    }
    m_dueSince = std::min(m_dueSince, now);
    if (now - m_dueSince < delay(processes)) {
        return false;
    }
    // The snapshot is recorded as if it had been read from the log. If its records never reach the log, the next
    // attempt follows one interval later.
    recordSnapshot(nextOffset, now);
    return true;
}

Duration SnapshotSchedule::delay(std::size_t processes) const
{
    const std::uint64_t draw = stableHash(m_incarnation + std::to_string(m_lastOffset));
    const double fraction = static_cast<double>(draw % 1'000'000) / 1'000'000;
    const double spread = toSeconds(m_policy.spacing) * static_cast<double>(processes);
    return std::min(fromSeconds(fraction * spread), m_policy.interval / 2);
}

} // namespace celeryroute
