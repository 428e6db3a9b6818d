#pragma once

#include <celeryroute/detail/queue/queueentry.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace celeryroute {

/// The attempts that occupy the slots of a target, with their expected end times.
class RunningSet
{
public:
    void insert(const QueueEntry &entry, TimePoint now);

    /// @brief Removes and returns @p attemptId. Returns nothing if it is not running.
    std::optional<QueueEntry> erase(const std::string &attemptId);

    /// @brief Time at which one of @p slots slots is expected to be free, at least @p now.
    TimePoint expectedFreeSlot(std::size_t slots, TimePoint now) const;

    bool contains(const std::string &attemptId) const
    {
        return m_running.contains(attemptId);
    }

    /// @brief Whether a suspect is running. No other attempt may start meanwhile.
    bool isSuspectRunning() const
    {
        return m_suspects > 0;
    }
    std::size_t size() const
    {
        return m_running.size();
    }

private:
    struct Running {
        QueueEntry entry;
        TimePoint expectedEnd{};
    };

    absl::flat_hash_map<std::string, Running> m_running;
    std::set<std::pair<TimePoint, std::string>> m_byExpectedEnd;
    std::size_t m_suspects = 0;
};

} // namespace celeryroute
