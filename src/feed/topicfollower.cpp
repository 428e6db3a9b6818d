#include <celeryroute/detail/feed/topicfollower.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

constexpr int CautiousHoldDivisor = 2;

Duration holdTimeOf(const FeedCall &call)
{
    const ReadFrom *read = std::get_if<ReadFrom>(&call);
    return read ? read->wait : Duration::zero();
}

Duration wholeMilliseconds(Duration duration)
{
    return std::chrono::floor<std::chrono::milliseconds>(duration);
}

} // namespace

TopicFollower::TopicFollower(FeedTopic topic, TopicFollowerSettings settings, std::uint64_t seed)
    : m_topic(topic)
    , m_settings(settings)
    , m_timeout(settings.minAnswerTimeout, settings.maxAnswerTimeout)
    , m_backoff(settings.minBackoff, settings.maxBackoff, seed)
    , m_after(std::string())
{}

void TopicFollower::useSettings(const TopicFollowerSettings &settings, TimePoint now)
{
    if (settings == m_settings) {
        return;
    }
    m_settings = settings;
    m_timeout.useLimits(settings.minAnswerTimeout, settings.maxAnswerTimeout);
    m_backoff.useLimits(settings.minBackoff, settings.maxBackoff);
    m_notBefore = std::min(m_notBefore, now + std::max(settings.batchDelay, settings.maxBackoff));
    m_pendingCall.reset();
    m_skipHold = true;
}

void TopicFollower::beginEra(TimePoint now)
{
    ++m_era;
    m_restoredEnd = 0;
    m_pendingCall.reset();
    m_notBefore = std::min(m_notBefore, now + m_settings.maxBackoff);
    beginListing();
    m_listingRestarted = false;
}

bool TopicFollower::mayBeRestored(std::uint64_t offset) const
{
    return m_era > 0 && offset < std::max(m_restoredEnd, m_listingBegan ? m_listingEnd : 0);
}

void TopicFollower::useBatchDelay(Duration delay)
{
    m_settings.batchDelay = delay;
}

FeedStep TopicFollower::next(TimePoint now)
{
    if (m_pendingCall) {
        return AwaitAnswer{};
    }
    if (now < m_notBefore) {
        return WaitUntil{m_notBefore};
    }
    m_pendingCall = nextCall(now);
    return BeginCall{*m_pendingCall, holdTimeOf(*m_pendingCall) + m_timeout.timeout()};
}

std::vector<FeedRecord> TopicFollower::answered(FeedAnswer answer, TimePoint callBegan, TimePoint now)
{
    if (!m_pendingCall) {
        return {};
    }
    const FeedCall call = *std::exchange(m_pendingCall, std::nullopt);
    if (NewestPage *newest = std::get_if<NewestPage>(&answer); newest && std::holds_alternative<ReadNewest>(call)) {
        m_timeout.answeredAfter(now - callBegan);
        return process(std::move(*newest), callBegan, now);
    }
    if (RecordPage *records = std::get_if<RecordPage>(&answer); records && std::holds_alternative<ReadFrom>(call)) {
        // The store may have held an answer with records for any part of the wait, so all of it is subtracted.
        m_timeout.answeredAfter(std::max(Duration::zero(), now - callBegan - holdTimeOf(call)));
        return process(std::move(*records), holdTimeOf(call), callBegan, now);
    }
    if (std::holds_alternative<RecordsExpired>(answer) && !m_listingRestarted) {
        beginListing();
        return {};
    }
    if (std::holds_alternative<RecordsExpired>(answer)) {
        beginListing();
    }
    fail(now);
    return {};
}

void TopicFollower::timedOut(TimePoint now)
{
    if (m_pendingCall) {
        m_pendingCall.reset();
        m_timeout.timedOut();
        fail(now);
    }
}

bool TopicFollower::isComplete() const
{
    return m_confirmed.has_value();
}

std::optional<TimePoint> TopicFollower::confirmedAt() const
{
    return m_confirmed;
}

std::optional<TimePoint> TopicFollower::recoveredAt() const
{
    return m_recovered;
}

bool TopicFollower::isListing() const
{
    return m_after.has_value();
}

bool TopicFollower::isFailing() const
{
    return m_backoff.failures() > 0;
}

FeedCall TopicFollower::nextCall(TimePoint now)
{
    if (m_after) {
        return ReadNewest{m_topic, *m_after};
    }
    return ReadFrom{m_topic, m_offset, holdTime(now)};
}

Duration TopicFollower::holdTime(TimePoint now) const
{
    // The first read after a failure is not held, so that its answer shows at once that the store is available again.
    // The same applies after a change of settings: under the new ones, the known records could go stale
    // during a held read.
    if (isFailing() || m_skipHold) {
        return Duration::zero();
    }
    Duration longest = m_settings.hold;
    if (m_lastFailure && now - *m_lastFailure < m_settings.cautionPeriod) {
        longest /= CautiousHoldDivisor;
    }
    if (m_settings.recordValidity) {
        const Duration fresh = m_confirmed.value_or(now) + *m_settings.recordValidity - now;
        longest = std::min(longest, fresh - m_timeout.timeout());
    }
    return wholeMilliseconds(std::max(longest, Duration::zero()));
}

std::vector<FeedRecord> TopicFollower::process(NewestPage page, TimePoint callBegan, TimePoint now)
{
    std::vector<FeedRecord> changes;
    // The pages of a listing are not a snapshot, so the follower continues from the end of the first page.
    if (!m_listingBegan) {
        m_listingBegan = callBegan;
        m_listingEnd = page.end;
    }
    const std::string last = page.records.empty() ? std::string() : page.records.back().key;
    if (page.more && (last.empty() || last == *m_after)) {
        // A page that doesn't advance would be requested forever.
        beginListing();
        fail(now);
        return changes;
    }
    for (FeedRecord &record : page.records) {
        apply(record, changes);
    }
    if (page.more) {
        m_after = last;
        m_backoff.succeeded();
        return changes;
    }
    dropUnlisted(changes);
    m_restoredEnd = m_era > 0 && m_restoredEnd == 0 ? m_listingEnd : m_restoredEnd;
    m_after.reset();
    m_offset = m_listingEnd;
    succeed(*m_listingBegan, now);
    return changes;
}

std::vector<FeedRecord> TopicFollower::process(RecordPage page, Duration held, TimePoint callBegan, TimePoint now)
{
    std::vector<FeedRecord> changes;
    bool gap = page.end < m_offset;
    for (FeedRecord &record : page.records) {
        gap = gap || record.offset > m_offset;
        if (gap) {
            break;
        }
        if (record.offset == m_offset) {
            ++m_offset;
            apply(record, changes);
        }
    }
    const bool behind = m_offset < page.end;
    if (gap || (behind && page.records.empty())) {
        beginListing();
        fail(now);
        return changes;
    }
    if (behind) {
        m_backoff.succeeded();
        return changes;
    }
    // A read that was held for the whole wait and has no records confirms that none was written until its end.
    const bool heldWholeWait = page.records.empty() && now - callBegan >= held;
    succeed(heldWholeWait ? callBegan + held : callBegan, now);
    m_listingRestarted = false;
    // The delay after an empty answer avoids busy polling of a store that doesn't hold reads.
    m_notBefore = page.records.empty() ? callBegan + m_settings.minBackoff : now + m_settings.batchDelay;
    return changes;
}

bool TopicFollower::apply(FeedRecord &record, std::vector<FeedRecord> &changes)
{
    const auto known = m_known.find(record.key);
    if (known != m_known.end() && known->second.era == m_era && record.offset <= known->second.offset) {
        known->second.listing = m_listingNumber;
        return false;
    }
    if (record.value.empty()) {
        if (known == m_known.end()) {
            return false;
        }
        m_known.erase(known);
    } else {
        m_known[record.key] = KnownKey{m_era, record.offset, m_listingNumber};
    }
    changes.push_back(std::move(record));
    return true;
}

void TopicFollower::dropUnlisted(std::vector<FeedRecord> &changes)
{
    for (auto known = m_known.begin(); known != m_known.end();) {
        const bool isOutdated = known->second.era != m_era || known->second.offset < m_listingEnd;
        if (known->second.listing != m_listingNumber && isOutdated) {
            changes.push_back(FeedRecord{known->first, std::string(), m_listingEnd});
            known = m_known.erase(known);
        } else {
            ++known;
        }
    }
}

void TopicFollower::beginListing()
{
    ++m_listingNumber;
    m_listingRestarted = true;
    m_after = std::string();
    m_listingBegan.reset();
}

void TopicFollower::fail(TimePoint now)
{
    m_lastFailure = now;
    m_notBefore = now + m_backoff.failed();
}

void TopicFollower::succeed(TimePoint current, TimePoint now)
{
    if (m_lastFailure && (!m_recovered || *m_recovered < *m_lastFailure)) {
        m_recovered = now;
    }
    m_backoff.succeeded();
    m_skipHold = false;
    m_confirmed = std::max(m_confirmed.value_or(current), current);
}

} // namespace celeryroute
