#pragma once

#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/telemetry/decisionlog.h>

namespace celeryroute {

/// Tells the log when the store no longer serves one topic, and when it does again.
class StoreWatch
{
public:
    /// @param log must outlive this
    StoreWatch(DecisionLog &log, FeedTopic topic, TimePoint now);

    void noteAnswer(const FeedAnswer &answer, TimePoint now);

private:
    void served(std::uint64_t offset, TimePoint now);
    void failed(int status, TimePoint now);

    DecisionLog &m_log;
    FeedTopic m_topic;
    TimePoint m_served; ///< When the store last served it; at first, when this began.
    bool m_lost = false;
};

} // namespace celeryroute
