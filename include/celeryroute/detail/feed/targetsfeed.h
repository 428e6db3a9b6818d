#pragma once

#include <celeryroute/detail/feed/topicfollower.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace celeryroute {

/// A target is new, or its record differs from the one before.
struct TargetChanged {
    TargetRecord record;
    std::uint64_t offset = 0;
    bool operator==(const TargetChanged &) const = default;
};

/// A target has left the registry.
struct TargetGone {
    std::string id;
    std::uint64_t offset = 0; ///< Of the record that says so.
    bool operator==(const TargetGone &) const = default;
};

using TargetEvent = std::variant<TargetChanged, TargetGone>;

/// @brief Follows the registry of targets.
///
/// Records that expired during an outage of the store come back when their targets live: for a while
/// after it, a target whose record is missing stays known. An outage counts when calls failed and
/// nothing was answered for so long that records may have expired.
class TargetsFeed
{
public:
    using Reader = std::function<std::optional<TargetRecord>(const std::string &id, const std::string &)>;

    /// @param heartbeat targets renew their records about so often.
    TargetsFeed(FollowingSettings settings, Duration heartbeat, Reader reader, std::uint64_t seed);

    void useSettings(const FollowingSettings &settings, Duration heartbeat, TimePoint now);

    /// @brief See TopicFollower. A wait ends when a target is to be given up, if not before.
    FeedStep next(TimePoint now);
    std::vector<TargetEvent> answered(FeedAnswer answer, TimePoint callBegan, TimePoint now);
    void timedOut(TimePoint now);
    /// @brief The store served, or did not serve, a call about another topic.
    void storeServed(TimePoint now);
    void storeFailed();

    /// @brief When expire() has something to do; nothing while no record is missing.
    std::optional<TimePoint> nextExpiry() const;
    std::vector<TargetEvent> expire(TimePoint now);

    /// @brief Known targets by id.
    const std::unordered_map<std::string, TargetRecord> &targets() const;
    const TopicFollower &follower() const;

private:
    void take(const FeedRecord &record, TimePoint now, std::vector<TargetEvent> &events);
    void drop(const std::string &id, std::uint64_t offset, std::vector<TargetEvent> &events);
    bool mayReturn(const TargetRecord &target, TimePoint now) const;

    TopicFollower m_follower;
    Reader m_reader;
    std::unordered_map<std::string, TargetRecord> m_targets;
    Duration m_leastOutage; ///< In which records may expire.
    std::map<std::string, std::uint64_t> m_missing; ///< Known targets without a record, since an offset.
    std::optional<TimePoint> m_served;
    bool m_failed = false; ///< A call failed since the store last served one.
    std::optional<TimePoint> m_graceEnd;
};

} // namespace celeryroute
