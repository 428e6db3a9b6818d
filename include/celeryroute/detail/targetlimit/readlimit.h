#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace celeryroute {

/// What became of a limit that a target named in an answer.
enum class LimitReading {
    None, ///< The answer names no limit.
    Taken,
    Bounded, ///< The limit is higher than MaxTargetLimit, which is used in its place.
    Malformed, ///< Not one decimal number of at least 0. The answer says nothing about a limit.
};

/// Highest limit that is kept, in requests a second.
inline constexpr double MaxTargetLimit = 1'000'000;

/// A limit as it was read from an answer.
struct ReadLimit {
    LimitReading reading = LimitReading::None;
    double perSecond = 0; ///< For LimitReading::Taken and LimitReading::Bounded.
    bool operator==(const ReadLimit &) const = default;
};

/// @brief Reads the values of the header fields in which a target names its limit. Of several, the lowest counts.
ReadLimit readTargetLimit(const std::vector<std::string_view> &values);

/// @brief Name of @p reading in the log and as a label of metrics.
std::string_view labelValue(LimitReading reading);

} // namespace celeryroute
