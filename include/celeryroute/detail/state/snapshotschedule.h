#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Limits that determine when a new snapshot is written to the log.
struct SnapshotPolicy {
    /// Maximum time between snapshots; at most a third of the log's retention time.
    Duration interval = std::chrono::minutes(30);
    std::uint64_t records = 65'536; ///< Maximum number of records between snapshots.
    /// A process delays a due snapshot by at most this time multiplied by the number of processes, and by at most
    /// half of the interval.
    Duration spacing = std::chrono::seconds(1);
    bool operator==(const SnapshotPolicy &) const = default;
};

/// @brief Decides when this process writes a snapshot, so that usually only one process of the fleet does.
///
/// Any process may write a snapshot, and duplicates are harmless. Each process waits for a pseudo-random
/// time derived from its incarnation and the last snapshot, and writes none if it sees another's first.
class SnapshotSchedule
{
public:
    SnapshotSchedule(std::string incarnation, SnapshotPolicy policy, TimePoint now);

    /// @brief Records that the log contains a snapshot of the state at @p nextOffset.
    void recordSnapshot(std::uint64_t nextOffset, TimePoint now);
    /// @brief Whether to write a snapshot at @p nextOffset, with @p processes in the fleet.
    bool isDue(std::uint64_t nextOffset, std::size_t processes, TimePoint now);

private:
    Duration delay(std::size_t processes) const;

    std::string m_incarnation;
    SnapshotPolicy m_policy;
    std::uint64_t m_lastOffset = 0;
    TimePoint m_lastTime;
    TimePoint m_dueSince = TimePoint::max();
};

} // namespace celeryroute
