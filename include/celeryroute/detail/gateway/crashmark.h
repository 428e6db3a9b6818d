#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// Records that a request was running at a target when the target died. Exchanged between entries.
struct CrashMark {
    std::uint64_t request = 0; ///< Digest of customer, path and body.
    std::string target;
    std::int64_t bornMs = 0; ///< Start of the target's lifetime that ended, in Unix milliseconds.
    bool pending = false; ///< The request was not answered, but the target is not known to have died yet.
    std::vector<std::uint64_t> parts = {}; ///< Digests of the prompt parts that other requests may share.
    Duration sentAge{}; ///< Time since the request was sent to the target.
    Duration endedAge{}; ///< Time since the exchange ended.
    bool operator==(const CrashMark &) const = default;
};

} // namespace celeryroute
