#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <optional>

namespace celeryroute {

/// What a target last said of the requests a second that it takes from all entries together.
struct TargetLimit {
    std::int64_t bornMs = 0; ///< Start of the target's lifetime; 0 if it is not known.
    std::optional<double> perSecond; ///< Empty if the target names no limit any more.
    /// With a limit: when the answer that named it arrived. Without: when the request was sent whose answer named none.
    TimePoint at{};

    /// @brief Whether this replaces @p known. What is known of an earlier lifetime is replaced in any case.
    bool isNewerThan(const TargetLimit &known) const;
    bool operator==(const TargetLimit &) const = default;
};

} // namespace celeryroute
