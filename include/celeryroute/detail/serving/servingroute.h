#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// Kind of the calls on a route; decides what may be retried.
enum class CallKind {
    Idempotent, ///< Plain call that may run more than once.
    AtMostOnce, ///< Plain call that may run at most once.
    Stream, ///< Stream of server-sent events; runs at most once unless resumable.
};

/// Weight of one pool in the traffic split of a route.
struct PoolWeight {
    std::string pool;
    std::uint32_t weight = 1;
    bool operator==(const PoolWeight &) const = default;
};

/// A route: matches calls by host and path, and defines their limits, priority and pools.
struct ServingRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::AtMostOnce;
    std::vector<PoolWeight> pools;
    Duration timeout{}; ///< Longest time until the answer is complete; 0 for no limit.
    Duration targetLatency{}; ///< Target time to the answer, or to the first event of a stream.
    Duration targetGap{}; ///< Target for the longest pause between events of a stream.
    std::uint32_t priority = 0; ///< 0 is served first.
    std::uint32_t maxAttempts = 1; ///< How many targets may run one call.
    bool open = false; ///< Whether calls without a key are allowed.
    bool sticky = false; ///< Calls name a model and the parts of their prompt.
    bool resumable = false; ///< Whether a stream may be resumed at another target.
    Duration callerIdleTimeout{}; ///< Pause between events after which callers disconnect; 0 if unknown.
    bool operator==(const ServingRoute &) const = default;

    /// @brief Whether a call on this route may run more than once.
    bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && resumable);
    }
};

} // namespace celeryroute
