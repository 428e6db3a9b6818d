#include <celeryroute/detail/node/storewatch.h>

namespace celeryroute {

namespace {

std::string_view nameOf(FeedTopic topic)
{
    switch (topic) {
    case FeedTopic::Desired:
        return "desired";
    case FeedTopic::Targets:
        return "targets";
    case FeedTopic::Fences:
        break;
    }
    return "fences";
}

} // namespace

StoreWatch::StoreWatch(DecisionLog &log, FeedTopic topic, TimePoint now)
    : m_log(log)
    , m_topic(topic)
    , m_served(now)
{}

void StoreWatch::noteAnswer(const FeedAnswer &answer, TimePoint now)
{
    struct Visitor {
        StoreWatch &watch;
        TimePoint now;
        void operator()(const NewestPage &page) const
        {
            watch.served(page.end, now);
        }
        void operator()(const RecordPage &page) const
        {
            watch.served(page.end, now);
        }
        void operator()(const RecordAppended &appended) const
        {
            watch.served(appended.offset, now);
        }
        void operator()(const RecordsExpired &) const {} // The store answers, but delivers no records.
        void operator()(const FeedUnavailable &unavailable) const
        {
            watch.failed(unavailable.status, now);
        }
    };
    std::visit(Visitor{*this, now}, answer);
}

void StoreWatch::served(std::uint64_t offset, TimePoint now)
{
    if (m_lost) {
        m_log.write(DecisionEvent::StoreRegained,
                    now,
                    {{"topic", nameOf(m_topic)}, {"lost_ms", now - m_served}, {"offset", offset}});
    }
    m_lost = false;
    m_served = now;
}

void StoreWatch::failed(int status, TimePoint now)
{
    if (!m_lost) {
        m_log.write(DecisionEvent::StoreLost,
                    now,
                    {{"topic", nameOf(m_topic)}, {"status", status}, {"silent_ms", now - m_served}});
    }
    m_lost = true;
}

} // namespace celeryroute
