#pragma once

#include <celeryroute/detail/feed/answertimeout.h>
#include <celeryroute/detail/feed/exponentialbackoff.h>
#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/feed/feedstep.h>
#include <celeryroute/detail/feed/topicfollowersettings.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Follows one keyed topic: lists its newest records first, then reads every change.
///
/// This class does no I/O. Its driver asks next() for the next step, performs it, reports the outcome of
/// each call with answered() or timedOut(), and asks again. Only one call is pending at a time. After a
/// timeout the driver closes the call's connection. It may report timedOut() early when it has reason to
/// believe that the connection is dead.
class TopicFollower
{
public:
    TopicFollower(FeedTopic topic, TopicFollowerSettings settings, std::uint64_t seed);

    /// @brief Applies new settings. A pending call is abandoned, because it was started with the old ones;
    /// the driver must drop its answer when next() returns another call.
    void useSettings(const TopicFollowerSettings &settings, TimePoint now);

    /// @brief The store came back from a copy: offsets seen before mean nothing any more, and the topic is listed
    /// again. What is known stays known until then. A pending call is abandoned, as by useSettings().
    void beginEra(TimePoint now);
    /// @brief Whether a record at @p offset was in the first listing after the store came back, so that it may be older
    /// than the record that was known before.
    bool mayBeRestored(std::uint64_t offset) const;

    /// @brief Changes the delay from an answer with records to the next read. A pending call goes on.
    void useBatchDelay(Duration delay);

    /// @brief The next step of the driver. A returned call counts as started.
    FeedStep next(TimePoint now);
    /// @brief Processes the answer to the pending call.
    /// @return the records that changed, in topic order; an empty value means that the key was deleted
    std::vector<FeedRecord> answered(FeedAnswer answer, TimePoint callBegan, TimePoint now);
    /// @brief Handles that the pending call was not answered in time.
    void timedOut(TimePoint now);

    /// @brief Whether the topic has been read completely at least once.
    bool isComplete() const;
    /// @brief Time up to which all records are known: the start of the last read, or its end if the store
    /// held it for the whole wait and had no record.
    std::optional<TimePoint> confirmedAt() const;
    /// @brief When the topic was first completely read after the last outage; nothing before any outage.
    std::optional<TimePoint> recoveredAt() const;
    /// @brief Whether the records of the topic are being listed.
    bool isListing() const;
    /// @brief Whether the last call failed.
    bool isFailing() const;

private:
    struct KnownKey {
        std::uint64_t era = 0;
        std::uint64_t offset = 0;
        std::uint64_t listing = 0; ///< Number of the last listing that contained the key.
    };

    FeedCall nextCall(TimePoint now);
    Duration holdTime(TimePoint now) const;
    std::vector<FeedRecord> process(NewestPage page, TimePoint callBegan, TimePoint now);
    std::vector<FeedRecord> process(RecordPage page, Duration held, TimePoint callBegan, TimePoint now);
    bool apply(FeedRecord &record, std::vector<FeedRecord> &changes);
    void dropUnlisted(std::vector<FeedRecord> &changes);
    void beginListing();
    void fail(TimePoint now);
    void succeed(TimePoint current, TimePoint now);

    FeedTopic m_topic;
    TopicFollowerSettings m_settings;
    AnswerTimeout m_timeout;
    ExponentialBackoff m_backoff;
    std::unordered_map<std::string, KnownKey> m_known;
    std::optional<FeedCall> m_pendingCall;
    std::optional<std::string> m_after; ///< Last key of the previous page; only set during a listing.
    std::uint64_t m_era = 0; ///< How often the store came back from a copy.
    std::uint64_t m_restoredEnd = 0; ///< End of the topic at the first listing after it came back.
    std::uint64_t m_listingNumber = 1; ///< Number of the current or last listing.
    std::optional<TimePoint> m_listingBegan;
    std::uint64_t m_listingEnd = 0; ///< End of the topic when the listing's first page was read.
    bool m_listingRestarted = false; ///< The listing was restarted since the last complete read of records.
    std::uint64_t m_offset = 0; ///< Offset of the next record to read.
    /// The settings changed since the last complete read, so the known records may be stale under them.
    bool m_skipHold = false;
    TimePoint m_notBefore = TimePoint::min(); ///< Earliest time of the next call.
    std::optional<TimePoint> m_confirmed;
    std::optional<TimePoint> m_lastFailure;
    std::optional<TimePoint> m_recovered;
};

} // namespace celeryroute
