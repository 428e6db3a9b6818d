#pragma once

#include <celeryroute/detail/queue/queueentry.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace celeryroute {

/// Attempts that occupy the slots of a target, with their expected ends.
class RunningSet
{
public:
    void insert(const QueueEntry &entry, TimePoint now);

    /// @brief Removes and returns @p attemptId; empty when it does not run.
    std::optional<QueueEntry> erase(const std::string &attemptId);

    /// @brief When a slot out of @p slots is expected to be free; never before @p now.
    TimePoint expectedFreeSlot(std::size_t slots, TimePoint now) const;

    bool contains(const std::string &attemptId) const
    {
        return m_running.contains(attemptId);
    }

    /// @brief Whether a suspect runs, which allows nothing beside it.
    bool suspectRuns() const
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
