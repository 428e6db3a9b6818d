#pragma once

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

/// @brief The limits that targets have named.
class TargetLimits
{
public:
    /// Time for which the end of a limit, or a limit that is not heard of again, is remembered.
    static constexpr Duration Retention = std::chrono::minutes(10);

    /// @brief Takes over what an answer of @p target said, if it is newer than what is known.
    LimitChange noteAnswer(const std::string &target, const TargetLimit &limit);
    /// @brief Notes that @p target has started at @p bornMs, which ends limits of earlier lifetimes.
    LimitChange beginLifetime(const std::string &target, std::int64_t bornMs, TimePoint now);

    /// @brief The newest that is known of @p target, also if its limit has ended; null if nothing is known.
    const TargetLimit *newest(const std::string &target) const;
    /// @brief The limit of @p target in requests a second, if it has one.
    std::optional<double> perSecond(const std::string &target) const;
    /// @brief Number of targets with a limit in force.
    std::size_t limitedCount() const;

    /// @brief Forgets what is older than Retention.
    void expire(TimePoint now);

private:
    std::unordered_map<std::string, TargetLimit> m_targets;
};

/// @brief Name of @p change in the log.
std::string_view labelValue(LimitChange change);

} // namespace celeryroute
