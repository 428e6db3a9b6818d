#pragma once

#include <celeryroute/detail/feed/answerpatience.h>
#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/feed/feedstep.h>
#include <celeryroute/detail/feed/followingsettings.h>
#include <celeryroute/detail/feed/retrydelay.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Follows one keyed topic: its newest records first, then every change.
///
/// The driver asks next() for the step, performs it, and reports the outcome of each call by
/// answered() or timedOut(), then asks again. One call is in work at a time; after a timeout the
/// driver closes the call's channel, and may call timedOut() early when it has reason to doubt it.
class TopicFollower
{
public:
    TopicFollower(FeedTopic topic, FollowingSettings settings, std::uint64_t seed);

    /// @brief Follows by other settings from now on. A call in work is given up, as it was begun by
    /// those before; the driver drops its answer when next() returns another one.
    void useSettings(const FollowingSettings &settings, TimePoint now);

    /// @brief What to do now; a returned call counts as begun.
    FeedStep next(TimePoint now);
    /// @brief Records that changed, in the order of the topic; an empty value says that the key is gone.
    std::vector<FeedRecord> answered(FeedAnswer answer, TimePoint callBegan, TimePoint now);
    void timedOut(TimePoint now);

    /// @brief Whether what is known is all that the topic held at some time.
    bool complete() const;
    /// @brief Time up to which nothing was missing: the start of the last read, or its end if the store
    /// held it for the whole wait and had no record.
    std::optional<TimePoint> confirmedAt() const;
    /// @brief When a read was first answered whole after the last outage; nothing before any outage.
    std::optional<TimePoint> returnedAt() const;
    /// @brief Whether the last call failed.
    bool failing() const;

private:
    struct Known {
        std::uint64_t offset = 0;
        std::uint64_t listing = 0; ///< Last listing that named the key.
    };

    FeedCall nextCall(TimePoint now);
    Duration hold(TimePoint now) const;
    std::vector<FeedRecord> take(NewestPage page, TimePoint callBegan, TimePoint now);
    std::vector<FeedRecord> take(RecordPage page, Duration held, TimePoint callBegan, TimePoint now);
    bool apply(FeedRecord &record, std::vector<FeedRecord> &changes);
    void dropUnlisted(std::vector<FeedRecord> &changes);
    void beginListing();
    void fail(TimePoint now);
    void succeed(TimePoint current, TimePoint now);

    FeedTopic m_topic;
    FollowingSettings m_settings;
    AnswerPatience m_patience;
    RetryDelay m_retry;
    std::unordered_map<std::string, Known> m_known;
    std::optional<FeedCall> m_inWork;
    std::optional<std::string> m_after; ///< Key of the last page; set while the topic is listed.
    std::uint64_t m_listing = 1;
    std::optional<TimePoint> m_listingBegan;
    std::uint64_t m_listingEnd = 0; ///< End of the listing's first page.
    bool m_listedAgain = false; ///< Since a read of records was last answered.
    std::uint64_t m_offset = 0; ///< Next record to read.
    bool m_unheld = false; ///< Since the settings changed nothing was read whole: what is known may be old for them.
    TimePoint m_notBefore = TimePoint::min();
    std::optional<TimePoint> m_confirmed;
    std::optional<TimePoint> m_lastFailure;
    std::optional<TimePoint> m_returned;
};

} // namespace celeryroute
