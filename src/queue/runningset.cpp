#include <celeryroute/detail/queue/runningset.h>

#include <algorithm>

namespace celeryroute {

void RunningSet::insert(const QueueEntry &entry, TimePoint now)
{
    const TimePoint expectedEnd = now + entry.serviceTime;
    if (!m_running.try_emplace(entry.attemptId, Running{entry, expectedEnd}).second) {
        return;
    }
    m_byExpectedEnd.emplace(expectedEnd, entry.attemptId);
    m_suspects += entry.suspect ? 1 : 0;
}

std::optional<QueueEntry> RunningSet::erase(const std::string &attemptId)
{
    const auto found = m_running.find(attemptId);
    if (found == m_running.end()) {
        return std::nullopt;
    }
    QueueEntry entry = std::move(found->second.entry);
    m_byExpectedEnd.erase({found->second.expectedEnd, attemptId});
    m_suspects -= entry.suspect ? 1 : 0;
    m_running.erase(found);
    return entry;
}

TimePoint RunningSet::expectedFreeSlot(std::size_t slots, TimePoint now) const
{
    if (m_running.size() < slots || m_byExpectedEnd.empty()) {
        return now;
    }
    return std::max(now, m_byExpectedEnd.begin()->first);
}

} // namespace celeryroute
