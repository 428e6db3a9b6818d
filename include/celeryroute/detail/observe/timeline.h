#pragma once

#include <celeryroute/detail/observe/timelineevent.h>
#include <celeryroute/detail/observe/timelinefilter.h>
#include <celeryroute/time.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstddef>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The newest events of one process in a bounded ring, and its Lamport clock; any thread.
class Timeline
{
public:
    Timeline(std::string instance, std::string host, std::size_t capacity);

    /// @brief Adds @p event; the oldest one goes when the ring is full.
    void record(TimelineEvent event, WallTime now);
    /// @brief The logical time to put on a message that is about to be sent.
    std::uint64_t stamp();
    /// @brief Takes the logical time of a message that was received.
    void observe(std::uint64_t logicalTime);
    /// @brief Matching events, oldest first.
    std::vector<TimelineEvent> select(const TimelineFilter &filter) const;

private:
    const std::string m_instance;
    const std::string m_host;
    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::vector<TimelineEvent> m_ring ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_recorded ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_clock ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace celeryroute
