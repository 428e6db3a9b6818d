#include <celeryroute/detail/feed/targetsfeed.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

// Live targets restore their expired records within this time after an outage of the store.
constexpr Duration RecoveryGrace = std::chrono::seconds(2);
// Shortest outage in which a record can expire: a record expires after three missed heartbeats, one of which may have
// been missed before the outage.
constexpr int MinMissedHeartbeats = 2;

} // namespace

TargetsFeed::TargetsFeed(TopicFollowerSettings settings, Duration heartbeat, Reader reader, std::uint64_t seed)
    : m_follower(FeedTopic::Targets, settings, seed)
    , m_reader(std::move(reader))
    , m_minOutage(heartbeat * MinMissedHeartbeats)
{}

void TargetsFeed::useSettings(const TopicFollowerSettings &settings, Duration heartbeat, TimePoint now)
{
    m_follower.useSettings(settings, now);
    m_minOutage = heartbeat * MinMissedHeartbeats;
}

void TargetsFeed::beginEra(TimePoint now)
{
    m_follower.beginEra(now);
    m_isRestored = true;
}

void TargetsFeed::useBatchDelay(Duration delay)
{
    m_follower.useBatchDelay(delay);
}

FeedStep TargetsFeed::next(TimePoint now)
{
    FeedStep step = m_follower.next(now);
    if (WaitUntil *wait = std::get_if<WaitUntil>(&step); wait && nextExpiry()) {
        wait->time = std::max(now, std::min(wait->time, *nextExpiry()));
    }
    return step;
}

std::vector<TargetEvent> TargetsFeed::answered(FeedAnswer answer, TimePoint callBegan, TimePoint now)
{
    std::vector<TargetEvent> events;
    const std::vector<FeedRecord> changes = m_follower.answered(std::move(answer), callBegan, now);
    if (m_follower.isFailing()) {
        storeFailed();
    } else {
        storeAnswered(now);
    }
    for (const FeedRecord &record : changes) {
        process(record, now, events);
    }
    return events;
}

void TargetsFeed::timedOut(TimePoint now)
{
    m_follower.timedOut(now);
    storeFailed();
}

void TargetsFeed::storeAnswered(TimePoint now)
{
    const bool wasOutage = m_failed && m_lastAnswer && now - *m_lastAnswer >= m_minOutage;
    const bool wasRestored = std::exchange(m_isRestored, false);
    if (wasOutage || wasRestored) {
        m_graceEnd = now + RecoveryGrace;
    }
    m_failed = false;
    m_lastAnswer = now;
}

void TargetsFeed::storeFailed()
{
    m_failed = true;
}

std::optional<TimePoint> TargetsFeed::nextExpiry() const
{
    // While the store is unavailable, a missing record doesn't mean that the target is gone.
    if (m_missing.empty() || m_follower.isFailing()) {
        return std::nullopt;
    }
    return m_graceEnd;
}

std::vector<TargetEvent> TargetsFeed::expire(TimePoint now)
{
    std::vector<TargetEvent> events;
    if (nextExpiry().value_or(TimePoint::max()) > now) {
        return events;
    }
    const std::map<std::string, std::uint64_t> missing = std::exchange(m_missing, {});
    for (const auto &[id, offset] : missing) {
        m_addresses.remove(id);
        remove(id, offset, events);
    }
    return events;
}

const std::unordered_map<std::string, TargetRecord> &TargetsFeed::targets() const
{
    return m_targets;
}

const TopicFollower &TargetsFeed::follower() const
{
    return m_follower;
}

void TargetsFeed::process(const FeedRecord &record, TimePoint now, std::vector<TargetEvent> &events)
{
    if (record.value.empty()) {
        const auto known = m_targets.find(record.key);
        if (known != m_targets.end() && mayBeRestored(known->second, now)) {
            m_missing.emplace(record.key, record.offset);
        } else {
            m_addresses.remove(record.key);
            remove(record.key, record.offset, events);
        }
        return;
    }
    m_missing.erase(record.key);
    std::optional<TargetRecord> target = m_reader(record.key, record.value);
    if (!target) {
        m_addresses.remove(record.key);
        remove(record.key, record.offset, events);
        return;
    }
    const bool mayHaveGoneBack = m_follower.mayBeRestored(record.offset);
    if (mayHaveGoneBack && m_removed.contains(record.key, target->bornMs)) {
        return;
    }
    m_addresses.add(record.key, target->address, target->bornMs);
    if (const std::optional<std::string> successor = m_addresses.successorOf(record.key)) {
        remove(record.key, record.offset, events);
        events.emplace_back(TargetSucceeded{record.key, *successor, record.offset});
        return;
    }
    const std::vector<std::string> earlier = m_addresses.supersededBy(record.key);
    for (const std::string &id : earlier) {
        m_missing.erase(id);
        remove(id, record.offset, events);
    }
    TargetRecord &known = m_targets[record.key];
    if (mayHaveGoneBack && known.draining && known.bornMs == target->bornMs) {
        return;
    }
    if (known != *target) {
        known = *std::move(target);
        events.emplace_back(TargetChanged{known, record.offset});
        for (const std::string &id : earlier) {
            events.emplace_back(TargetSucceeded{id, record.key, record.offset});
        }
    }
}

void TargetsFeed::remove(const std::string &id, std::uint64_t offset, std::vector<TargetEvent> &events)
{
    const auto known = m_targets.find(id);
    if (known != m_targets.end()) {
        m_removed.add(id, known->second.bornMs);
        m_targets.erase(known);
        events.emplace_back(TargetRemoved{id, offset});
    }
}

bool TargetsFeed::mayBeRestored(const TargetRecord &target, TimePoint now) const
{
    return !target.draining && m_graceEnd && now < *m_graceEnd;
}

} // namespace celeryroute
