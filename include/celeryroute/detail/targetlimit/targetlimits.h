#pragma once

#include <celeryroute/detail/targetlimit/coldlimit.h>
#include <celeryroute/detail/targetlimit/targetlimit.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// How what is known of a target's limit has changed.
enum class LimitChange {
    None,
    Began,
    Moved,
    Ended,
};

/// @brief The limits that targets have named, those of targets that have just started, and the permits that this entry
/// holds for sending to these targets.
///
/// A target without a limit needs no permits. One with a limit gets a request only for a permit, which is valid for a
/// short time.
class TargetLimits
{
public:
    /// Time for which the end of a limit, or a limit that is not heard of again, is remembered.
    static constexpr Duration Retention = std::chrono::minutes(10);

    /// A change that this entry saw itself, of which the other entries are to be told.
    struct News {
        std::string target;
        LimitChange change = LimitChange::None;
        bool operator==(const News &) const = default;
    };

    /// @brief Takes over what an answer of @p target said, if it is newer than what is known.
    LimitChange noteAnswer(const std::string &target, const TargetLimit &limit);
    /// @brief Notes that @p target has started at @p bornMs, which ends limits of earlier lifetimes.
    LimitChange beginLifetime(const std::string &target, std::int64_t bornMs, TimePoint now);
    /// @brief Takes over what another entry knows of @p target, if it is newer.
    LimitChange noteTold(const std::string &target, const TargetLimit &limit);
    /// @brief Removes and returns the changes that this entry saw itself.
    std::vector<News> takeNews();

    /// @brief Takes over that @p target is cold. Of several times for one lifetime the longest counts.
    /// @return whether the target was not known to be cold
    bool noteCold(const std::string &target, const ColdLimit &limit, TimePoint now);
    /// @brief The limit of @p target if it is cold; null otherwise.
    const ColdLimit *cold(const std::string &target, TimePoint now) const;
    /// @brief Number of cold targets.
    std::size_t coldCount(TimePoint now) const;

    /// @brief The newest that is known of @p target, also if its limit has ended; null if nothing is known.
    const TargetLimit *newest(const std::string &target) const;
    /// @brief The limit that @p target has named in requests a second, if it has one.
    std::optional<double> perSecond(const std::string &target) const;
    /// @brief The limit in force in requests a second: the lower of the one that @p target has named and that of a cold
    /// target.
    std::optional<double> perSecond(const std::string &target, TimePoint now) const;
    /// @brief All targets with a limit in force, sorted.
    std::vector<std::string> limited() const;
    /// @brief Number of targets with a limit in force.
    std::size_t limitedCount() const;

    /// @brief Adds permits for @p calls requests that are valid until @p until.
    void addPermits(const std::string &target, std::uint32_t calls, TimePoint until);
    /// @brief Whether a request may be sent to @p target.
    bool mayReceive(const std::string &target, TimePoint now) const;
    /// @brief Notes that a request is sent to @p target, which uses a permit if the target has a limit.
    /// @return false if that needs a permit and there is none
    bool use(const std::string &target, TimePoint now);
    /// @brief Valid permits for @p target.
    std::uint32_t permits(const std::string &target, TimePoint now) const;
    /// @brief Valid permits for all targets.
    std::uint64_t permits(TimePoint now) const;

    /// @brief Notes that the next permit for @p target is expected at @p at.
    void expectPermit(const std::string &target, TimePoint at);
    /// @brief Time until a permit for @p target is expected; zero if none is needed, one is held, or nothing is known.
    Duration permitDelay(const std::string &target, TimePoint now) const;

    /// @brief Forgets what is older than Retention.
    void expire(TimePoint now);

private:
    struct Permits {
        std::uint32_t calls = 0;
        TimePoint until{};
    };
    struct Held {
        std::vector<Permits> permits;
        std::optional<TimePoint> expected; ///< When the issuer expected to grant the next permit.
    };

    LimitChange note(const std::string &target, const TargetLimit &limit);
    bool isLimited(const std::string &target, TimePoint now) const;
    const Held *held(const std::string &target) const;

    std::unordered_map<std::string, TargetLimit> m_targets;
    std::unordered_map<std::string, ColdLimit> m_cold;
    std::unordered_map<std::string, Held> m_held;
    std::vector<News> m_news;
};

/// @brief Name of @p change in the log.
std::string_view labelValue(LimitChange change);

} // namespace celeryroute
