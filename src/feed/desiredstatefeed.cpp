#include <celeryroute/detail/feed/desiredstatefeed.h>

#include <memory>
#include <utility>

namespace celeryroute {

namespace {

const std::string StateKey = "config";

} // namespace

DesiredStateFeed::DesiredStateFeed(TopicFollowerSettings settings,
                                   Duration keyRevocation,
                                   Reader reader,
                                   std::uint64_t seed)
    : m_follower(FeedTopic::Desired, settings, seed)
    , m_freshness(keyRevocation)
    , m_reader(std::move(reader))
{}

void DesiredStateFeed::useSettings(const TopicFollowerSettings &settings, Duration keyRevocation, TimePoint now)
{
    m_follower.useSettings(settings, now);
    m_freshness.useRevocationBound(keyRevocation, now);
}

FeedStep DesiredStateFeed::next(TimePoint now)
{
    return m_follower.next(now);
}

std::vector<DesiredStateEvent> DesiredStateFeed::answered(FeedAnswer answer, TimePoint callBegan, TimePoint now)
{
    std::vector<DesiredStateEvent> events;
    for (const FeedRecord &record : m_follower.answered(std::move(answer), callBegan, now)) {
        if (record.key == StateKey) {
            process(record, events);
        }
    }
    // An unreadable state may have revoked a key, so it doesn't confirm the keys of the previous state.
    if (m_readable && m_follower.confirmedAt()) {
        m_freshness.confirm(*m_follower.confirmedAt());
    }
    return events;
}

void DesiredStateFeed::timedOut(TimePoint now)
{
    m_follower.timedOut(now);
}

const ServingStatePtr &DesiredStateFeed::state() const
{
    return m_state;
}

const KeyFreshness &DesiredStateFeed::freshness() const
{
    return m_freshness;
}

const TopicFollower &DesiredStateFeed::follower() const
{
    return m_follower;
}

void DesiredStateFeed::process(const FeedRecord &record, std::vector<DesiredStateEvent> &events)
{
    std::optional<ServingState> state = m_reader(record.value);
    m_readable = state.has_value();
    if (!state) {
        events.emplace_back(StateUnreadable{record.offset});
        return;
    }
    if (m_state && state->version <= m_state->version) {
        return;
    }
    m_state = std::make_shared<const ServingState>(*std::move(state));
    events.emplace_back(StateChanged{m_state, record.offset});
}

} // namespace celeryroute
