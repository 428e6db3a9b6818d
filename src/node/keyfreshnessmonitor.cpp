#include <celeryroute/detail/node/keyfreshnessmonitor.h>

namespace celeryroute {

KeyFreshnessMonitor::KeyFreshnessMonitor(const DesiredStateFeed &feed, DecisionLog &log)
    : m_feed(feed)
    , m_log(log)
{}

bool KeyFreshnessMonitor::areKeysFresh(TimePoint now)
{
    const bool fresh = m_feed.freshness().areKeyedCallsAllowed(now);
    if (fresh != m_fresh) {
        m_fresh = fresh;
        write(now);
    }
    return fresh;
}

std::optional<Duration> KeyFreshnessMonitor::age(TimePoint now) const
{
    const std::optional<TimePoint> confirmed = m_feed.freshness().confirmedAt();
    return confirmed ? std::optional(now - *confirmed) : std::nullopt;
}

void KeyFreshnessMonitor::write(TimePoint now)
{
    const std::uint64_t version = m_feed.state() == nullptr ? 0 : m_feed.state()->version;
    if (m_fresh) {
        const auto stale = m_staleSince ? std::optional(now - *m_staleSince) : std::nullopt;
        m_log.write(DecisionEvent::KeysFresh,
                    now,
                    {{"age_ms", age(now)}, {"stale_ms", stale}, {fieldnames::StateVersion, version}});
        return;
    }
    m_staleSince = m_feed.freshness().validUntil();
    m_log.write(
        DecisionEvent::KeysStale,
        now,
        {{"age_ms", age(now)}, {"bound_ms", m_feed.freshness().validity()}, {fieldnames::StateVersion, version}});
}

} // namespace celeryroute
