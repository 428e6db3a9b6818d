#pragma once

#include <celeryroute/detail/feed/evacuateddomains.h>
#include <celeryroute/detail/feed/keyfreshness.h>
#include <celeryroute/detail/feed/topicfollower.h>
#include <celeryroute/detail/serving/servingstate.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace celeryroute {

/// A newer version of the desired state was read.
struct StateChanged {
    ServingStatePtr state;
    std::uint64_t offset = 0;
    bool operator==(const StateChanged &) const = default;
};

/// The newest desired state is malformed. The previous one stays in force but is no longer confirmed.
struct StateUnreadable {
    std::uint64_t offset = 0;
    bool operator==(const StateUnreadable &) const = default;
};

using DesiredStateEvent =
    std::variant<StateChanged, StateUnreadable, EvacuationBegan, EvacuationEnded, EvacuationMalformed>;

/// @brief Follows the operators' desired state, of which it never goes back to an older version, and the failure
/// domains that they evacuate.
class DesiredStateFeed
{
public:
    using Reader = std::function<std::optional<ServingState>(const std::string &)>;

    using EvacuationReader = std::function<EvacuationRecord(const std::string &key, const std::string &value)>;

    /// @param evacuations reads records about evacuations; without it, there are none
    DesiredStateFeed(TopicFollowerSettings settings,
                     Duration keyRevocation,
                     Reader reader,
                     std::uint64_t seed,
                     EvacuationReader evacuations = {});

    /// @brief Applies new settings and a new revocation bound from @p now on.
    void useSettings(const TopicFollowerSettings &settings, Duration keyRevocation, TimePoint now);

    /// @brief The store came back from a copy. The state stays in force; until what was lost has been written again,
    /// the store does not confirm the keys.
    void beginEra(TimePoint now);

    /// @brief Whether the store has just come back from a copy is not known. As with beginEra(), it does not confirm
    /// the keys for a time, unless the era turns out to be settled.
    void beginUnknownEra();
    /// @brief What a restore had lost is known to be written again.
    void eraSettled();
    /// @brief Whether what a restore had lost can be taken for written again.
    bool isRewritten(TimePoint now) const;

    /// @brief See TopicFollower for these three functions.
    FeedStep next(TimePoint now);
    std::vector<DesiredStateEvent> answered(FeedAnswer answer, TimePoint callBegan, TimePoint now);
    void timedOut(TimePoint now);

    /// @brief The current state; null before the first was read.
    const ServingStatePtr &state() const;
    const KeyFreshness &freshness() const;
    const EvacuatedDomains &evacuations() const
    {
        return m_evacuations;
    }
    const TopicFollower &follower() const;

private:
    void process(const FeedRecord &record, std::vector<DesiredStateEvent> &events);
    void processEvacuation(const FeedRecord &record, bool mayBeLost, std::vector<DesiredStateEvent> &events);
    /// @brief Whether a read has shown what was written again within the rewrite time after a restore.
    bool hasReadRewrites() const;
    /// @brief Whether the store has come back with an older state than the one in force.
    bool wentBack() const;
    void confirmKeys();

    TopicFollower m_follower;
    KeyFreshness m_freshness;
    Reader m_reader;
    EvacuationReader m_evacuationReader;
    EvacuatedDomains m_evacuations;
    ServingStatePtr m_state;
    std::uint64_t m_shownVersion = 0; ///< Version of the newest record read; lower than that in force after a restore.
    std::optional<TimePoint> m_confirmsFrom; ///< After a restore, the time from which on reads confirm the keys.
    bool m_readable = false; ///< Whether the newest record could be parsed.
};

} // namespace celeryroute
