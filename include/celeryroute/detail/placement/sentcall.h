#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// A call in flight, as the table of targets keeps it.
struct SentCall {
    std::string target;
    std::string pool;
    std::uint32_t lifetime = 0;
    std::string item; ///< Empty for a plain service.
    std::uint64_t cacheTokens = 0; ///< Tokens of prompt and expected output.
    std::uint64_t uncached = 0; ///< Prompt tokens that the target must prefill.
    std::uint32_t priority = 0;
    TimePoint sent;
    double predicted = 0; ///< Predicted seconds until the first event.
    double slack = 0; ///< Seconds left of the latency goal when the call was sent.
    bool foundNoBacklog = false; ///< When the call was sent, no call waited at the target and few were running.
    bool started = false;
    bool operator==(const SentCall &) const = default;
};

} // namespace celeryroute
