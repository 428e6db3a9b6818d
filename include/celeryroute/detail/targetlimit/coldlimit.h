#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// A target that has just started, and takes only so many requests a second from all entries together.
struct ColdLimit {
    std::int64_t bornMs = 0; ///< Start of the target's lifetime; 0 if it is not known.
    double perSecond = 0;
    TimePoint until{}; ///< When the target has warmed up.
    bool operator==(const ColdLimit &) const = default;
};

/// What an entry knows of one cold target.
struct ColdNotice {
    std::string target;
    ColdLimit limit;
    bool operator==(const ColdNotice &) const = default;
};

} // namespace celeryroute
