#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// When the state is written to the log again.
struct SnapshotPolicy {
    /// Longest time between snapshots; at most a third of the log's retention.
    Duration interval = std::chrono::minutes(30);
    std::uint64_t records = 65'536; ///< Most records between snapshots.
    Duration spacing = std::chrono::seconds(1); ///< Between processes that would write the same snapshot.
    bool operator==(const SnapshotPolicy &) const = default;
};

/// @brief Decides when this process writes a snapshot, so that mostly one process of many does.
///
/// Any process may write one, and two do no harm. Each waits a different time, drawn from its
/// incarnation and the last snapshot, and gives way when it sees another's.
class SnapshotSchedule
{
public:
    SnapshotSchedule(std::string incarnation, SnapshotPolicy policy, TimePoint now);

    /// @brief A snapshot of the state at @p nextOffset stands in the log.
    void seen(std::uint64_t nextOffset, TimePoint now);
    /// @brief Whether to write a snapshot at @p nextOffset, with @p processes in the fleet.
    bool isDue(std::uint64_t nextOffset, std::size_t processes, TimePoint now);

private:
    Duration delay(std::size_t processes) const;

    std::string m_incarnation;
    SnapshotPolicy m_policy;
    std::uint64_t m_lastOffset = 0;
    TimePoint m_lastTime;
    TimePoint m_wantedSince = TimePoint::max();
};

} // namespace celeryroute
