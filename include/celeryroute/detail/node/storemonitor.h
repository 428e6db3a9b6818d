#pragma once

#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/telemetry/decisionlog.h>

namespace celeryroute {

/// @brief Logs when the store stops serving a topic and when it serves the topic again.
class StoreMonitor
{
public:
    /// @param log must outlive this object
    StoreMonitor(DecisionLog &log, FeedTopic topic, TimePoint now);

    void noteAnswer(const FeedAnswer &answer, TimePoint now);

private:
    void served(std::uint64_t offset, TimePoint now);
    void failed(int status, TimePoint now);

    DecisionLog &m_log;
    FeedTopic m_topic;
    TimePoint m_lastServedAt; ///< When the store last served the topic; initially the time of construction.
    bool m_lost = false;
};

} // namespace celeryroute
