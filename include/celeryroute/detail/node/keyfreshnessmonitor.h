#pragma once

#include <celeryroute/detail/feed/desiredstatefeed.h>
#include <celeryroute/detail/telemetry/decisionlog.h>

#include <optional>

namespace celeryroute {

/// @brief Logs when the known API keys become stale and when they are fresh again.
class KeyFreshnessMonitor
{
public:
    /// @param feed must outlive this object
    /// @param log must outlive this object
    KeyFreshnessMonitor(const DesiredStateFeed &feed, DecisionLog &log);

    /// @brief Returns whether calls with keys may be admitted; logs an event when that has changed.
    bool areKeysFresh(TimePoint now);
    /// @brief Time since the start of the newest answered read of the keys; empty before the first one.
    std::optional<Duration> age(TimePoint now) const;

private:
    void write(TimePoint now);

    const DesiredStateFeed &m_feed;
    DecisionLog &m_log;
    bool m_fresh = false;
    std::optional<TimePoint> m_staleSince;
};

} // namespace celeryroute
