#pragma once

#include <celeryroute/detail/feed/desiredstatefeed.h>
#include <celeryroute/detail/telemetry/decisionlog.h>

#include <optional>

namespace celeryroute {

/// Tells the log when the keys that are known grow stale and when they are fresh again.
class KeyWatch
{
public:
    /// @param feed must outlive this, as must @p log
    KeyWatch(const DesiredStateFeed &feed, DecisionLog &log);

    /// @brief Whether calls with keys may be admitted; writes a line when that has changed.
    bool fresh(TimePoint now);
    /// @brief Since the newest answered read of the keys began.
    std::optional<Duration> age(TimePoint now) const;

private:
    void write(TimePoint now);

    const DesiredStateFeed &m_feed;
    DecisionLog &m_log;
    bool m_fresh = false;
    std::optional<TimePoint> m_staleSince;
};

} // namespace celeryroute
