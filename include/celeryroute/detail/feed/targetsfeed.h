#pragma once

#include <celeryroute/detail/feed/addressholders.h>
#include <celeryroute/detail/feed/topicfollower.h>
#include <celeryroute/detail/serving/endedlifetimes.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace celeryroute {

/// A target was added or its record changed.
struct TargetChanged {
    TargetRecord record;
    std::uint64_t offset = 0;
    bool operator==(const TargetChanged &) const = default;
};

/// A target has left the registry.
struct TargetRemoved {
    std::string id;
    std::uint64_t offset = 0; ///< Offset of the record that removed the target.
    bool operator==(const TargetRemoved &) const = default;
};

/// A target that started later is registered at the address of another one, which is gone.
struct TargetSucceeded {
    std::string id;
    std::string successor;
    std::uint64_t offset = 0;
    bool operator==(const TargetSucceeded &) const = default;
};

using TargetEvent = std::variant<TargetChanged, TargetRemoved, TargetSucceeded>;

/// @brief Follows the registry of targets.
///
/// During an outage of the store, targets can't renew their records, so records of live targets may
/// expire and are restored afterwards. For a grace period after an outage, a target whose record is
/// missing therefore stays known. Failures of the store count as an outage when no call was answered
/// for so long that records may have expired.
///
/// A target is gone when one that started later is registered at its address, although its own record has not expired
/// yet.
class TargetsFeed
{
public:
    using Reader = std::function<std::optional<TargetRecord>(const std::string &id, const std::string &)>;

    /// @param heartbeat interval at which targets renew their records
    TargetsFeed(TopicFollowerSettings settings, Duration heartbeat, Reader reader, std::uint64_t seed);

    void useSettings(const TopicFollowerSettings &settings, Duration heartbeat, TimePoint now);
    /// @brief See TopicFollower.
    void useBatchDelay(Duration delay);

    /// @brief The store came back from a copy. Records that went back change nothing before they are written again: a
    /// draining target stays draining, and a removed one stays removed.
    void beginEra(TimePoint now);

    /// @brief See TopicFollower. A wait ends at nextExpiry() at the latest.
    FeedStep next(TimePoint now);
    std::vector<TargetEvent> answered(FeedAnswer answer, TimePoint callBegan, TimePoint now);
    void timedOut(TimePoint now);
    /// @brief Records that the store answered a call about another topic.
    void storeAnswered(TimePoint now);
    /// @brief Records that the store failed to answer a call about another topic.
    void storeFailed();

    /// @brief When expire() must be called next; nothing while no record is missing.
    std::optional<TimePoint> nextExpiry() const;
    /// @brief Removes targets whose records are still missing at the end of the grace period.
    std::vector<TargetEvent> expire(TimePoint now);

    /// @brief Known targets by id.
    const std::unordered_map<std::string, TargetRecord> &targets() const;
    const TopicFollower &follower() const;

private:
    void process(const FeedRecord &record, TimePoint now, std::vector<TargetEvent> &events);
    void remove(const std::string &id, std::uint64_t offset, std::vector<TargetEvent> &events);
    bool mayBeRestored(const TargetRecord &target, TimePoint now) const;

    TopicFollower m_follower;
    Reader m_reader;
    std::unordered_map<std::string, TargetRecord> m_targets;
    AddressHolders m_addresses; ///< Of all records, those of superseded targets too.
    Duration m_minOutage; ///< Shortest outage in which records may expire.
    /// Known targets without a record, and the offset at which the record was deleted.
    std::map<std::string, std::uint64_t> m_missing;
    EndedLifetimes m_removed; ///< Lifetimes whose records were removed.
    std::optional<TimePoint> m_lastAnswer; ///< When the store last answered a call.
    bool m_isRestored = false; ///< The store came back from a copy and has not served a call since.
    bool m_failed = false; ///< A call failed since the store last answered one.
    std::optional<TimePoint> m_graceEnd; ///< End of the grace period after the last outage.
};

} // namespace celeryroute
