#include <celeryroute/detail/node/storemonitor.h>

namespace celeryroute {

namespace {

std::string_view nameOf(FeedTopic topic)
{
    switch (topic) {
    case FeedTopic::Desired:
        return "desired";
    case FeedTopic::Targets:
        return "targets";
    case FeedTopic::Versions:
        return "versions";
    case FeedTopic::Eras:
        return "eras";
    case FeedTopic::Fences:
        break;
    }
    return "fences";
}

} // namespace

StoreMonitor::StoreMonitor(DecisionLog &log, FeedTopic topic, TimePoint now)
    : m_log(log)
    , m_topic(topic)
    , m_lastServedAt(now)
{}

void StoreMonitor::noteAnswer(const FeedAnswer &answer, TimePoint now)
{
    struct Visitor {
        StoreMonitor &monitor;
        TimePoint now;
        void operator()(const NewestPage &page) const
        {
            monitor.served(page.end, now);
        }
        void operator()(const RecordPage &page) const
        {
            monitor.served(page.end, now);
        }
        void operator()(const RecordAppended &appended) const
        {
            monitor.served(appended.offset, now);
        }
        void operator()(const RecordsExpired &) const {} // The store answers, but delivers no records.
        void operator()(const FeedUnavailable &unavailable) const
        {
            monitor.failed(unavailable.status, now);
        }
    };
    std::visit(Visitor{*this, now}, answer);
}

void StoreMonitor::served(std::uint64_t offset, TimePoint now)
{
    if (m_lost) {
        m_log.write(DecisionEvent::StoreRegained,
                    now,
                    {{"topic", nameOf(m_topic)}, {"lost_ms", now - m_lastServedAt}, {"offset", offset}});
    }
    m_lost = false;
    m_lastServedAt = now;
}

void StoreMonitor::failed(int status, TimePoint now)
{
    if (!m_lost) {
        m_log.write(DecisionEvent::StoreLost,
                    now,
                    {{"topic", nameOf(m_topic)}, {"status", status}, {"silent_ms", now - m_lastServedAt}});
    }
    m_lost = true;
}

} // namespace celeryroute
