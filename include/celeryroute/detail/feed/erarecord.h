#pragma once

#include <celeryroute/detail/feed/answertimeout.h>
#include <celeryroute/detail/feed/exponentialbackoff.h>
#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/detail/feed/feedstep.h>
#include <celeryroute/detail/feed/topicfollowersettings.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace celeryroute {

/// @brief Record in the store of the newest era in which what a restore had lost was written again.
///
/// A process that starts can't tell from the era alone whether the store has just come back from a copy. An era that is
/// recorded is settled. Does no I/O and has the interface of a TopicFollower.
class EraRecord
{
public:
    /// @brief Whether this process should record that the present era is settled.
    using MayRecord = std::function<bool(TimePoint now)>;

    EraRecord(const TopicFollowerSettings &settings, std::uint64_t seed, MayRecord mayRecord);

    /// @brief The store answers in @p era.
    void begin(std::uint64_t era);

    FeedStep next(TimePoint now);
    void answered(const FeedAnswer &answer, TimePoint callBegan, TimePoint now);
    void timedOut(TimePoint now);

    /// @brief Whether the era is known to be settled, by the record or because there was none before it.
    bool isSettled() const;

private:
    void fail(TimePoint now);

    MayRecord m_mayRecord;
    AnswerTimeout m_timeout;
    ExponentialBackoff m_backoff;
    std::uint64_t m_era = 0; ///< The store was never restored in era 0.
    std::uint64_t m_recorded = 0;
    bool m_isRead = false;
    std::optional<FeedCall> m_pendingCall;
    TimePoint m_notBefore = TimePoint::min();
};

} // namespace celeryroute
