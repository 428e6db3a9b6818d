#include <celeryroute/detail/feed/desiredstatefeed.h>

#include <memory>
#include <utility>

namespace celeryroute {

namespace {

const std::string StateKey = "config";
/// Time for which the operators' writes that a restore has lost may be missing.
constexpr Duration RewriteTime = std::chrono::seconds(2);

} // namespace

DesiredStateFeed::DesiredStateFeed(TopicFollowerSettings settings,
                                   Duration keyRevocation,
                                   Reader reader,
                                   std::uint64_t seed,
                                   EvacuationReader evacuations)
    : m_follower(FeedTopic::Desired, settings, seed)
    , m_freshness(keyRevocation)
    , m_reader(std::move(reader))
    , m_evacuationReader(std::move(evacuations))
{}

void DesiredStateFeed::useSettings(const TopicFollowerSettings &settings, Duration keyRevocation, TimePoint now)
{
    m_follower.useSettings(settings, now);
    m_freshness.useRevocationBound(keyRevocation, now);
}

void DesiredStateFeed::beginEra(TimePoint now)
{
    m_follower.beginEra(now);
    m_confirmsFrom = TimePoint::max();
}

void DesiredStateFeed::beginUnknownEra()
{
    m_confirmsFrom = TimePoint::max();
}

void DesiredStateFeed::eraSettled()
{
    if (m_confirmsFrom && !wentBack()) {
        m_confirmsFrom.reset();
        confirmKeys();
    }
}

bool DesiredStateFeed::isRewritten(TimePoint now) const
{
    return !wentBack() && (!m_confirmsFrom || now >= *m_confirmsFrom);
}

// Calls that fail after the rewrite time tell nothing: the store may have taken no writes in that time either.
bool DesiredStateFeed::hasReadRewrites() const
{
    return !m_confirmsFrom || m_follower.confirmedAt() >= m_confirmsFrom;
}

bool DesiredStateFeed::wentBack() const
{
    return m_confirmsFrom && m_state && m_shownVersion < m_state->version;
}

FeedStep DesiredStateFeed::next(TimePoint now)
{
    return m_follower.next(now);
}

std::vector<DesiredStateEvent> DesiredStateFeed::answered(FeedAnswer answer, TimePoint callBegan, TimePoint now)
{
    std::vector<DesiredStateEvent> events;
    // Only a listing misses records that a restore has lost. A deletion in the history is the operators' own.
    const bool mayMissRecords = m_follower.isListing() && !isRewritten(now);
    for (const FeedRecord &record : m_follower.answered(std::move(answer), callBegan, now)) {
        if (record.key == StateKey) {
            process(record, events);
        } else if (m_evacuationReader) {
            processEvacuation(record, mayMissRecords, events);
        }
    }
    // Answers may show the new era before the store serves again, so the time counts from the listing.
    if (m_confirmsFrom == TimePoint::max() && !m_follower.isListing()) {
        m_confirmsFrom = now + RewriteTime;
    }
    if (hasReadRewrites()) {
        for (EvacuationEvent &event : m_evacuations.endLost()) {
            std::visit([&events](auto &change) { events.emplace_back(std::move(change)); }, event);
        }
    }
    confirmKeys();
    return events;
}

void DesiredStateFeed::confirmKeys()
{
    // An unreadable state may have revoked a key, so it doesn't confirm the keys of the previous state. The same holds
    // for an older state after the store came back, and for reads before its lost records were written again.
    const std::optional<TimePoint> confirmed = m_follower.confirmedAt();
    if (m_readable && !wentBack() && confirmed && confirmed >= m_confirmsFrom) {
        m_freshness.confirm(*confirmed);
    }
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

void DesiredStateFeed::processEvacuation(const FeedRecord &record,
                                         bool mayBeLost,
                                         std::vector<DesiredStateEvent> &events)
{
    const EvacuationRecord evacuation = m_evacuationReader(record.key, record.value);
    if (std::optional<EvacuationEvent> event = m_evacuations.apply(evacuation, record.offset, mayBeLost)) {
        std::visit([&events](auto &change) { events.emplace_back(std::move(change)); }, *event);
    }
}

void DesiredStateFeed::process(const FeedRecord &record, std::vector<DesiredStateEvent> &events)
{
    std::optional<ServingState> state = m_reader(record.value);
    m_readable = state.has_value();
    if (!state) {
        events.emplace_back(StateUnreadable{record.offset});
        return;
    }
    m_shownVersion = state->version;
    if (m_state && state->version <= m_state->version) {
        return;
    }
    m_state = std::make_shared<const ServingState>(*std::move(state));
    events.emplace_back(StateChanged{m_state, record.offset});
}

} // namespace celeryroute
