#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What may be repeated on a route.
enum class CallKind {
    Idempotent, ///< Plain call that may run more than once.
    AtMostOnce, ///< Plain call that may run once at most.
    Stream, ///< Server-sent events; runs once at most unless resumable.
};

/// Part of a route's calls that goes to one pool.
struct PoolWeight {
    std::string pool;
    std::uint32_t weight = 1;
    bool operator==(const PoolWeight &) const = default;
};

/// Who may call what, how urgently, and which pools serve it.
struct ServingRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::AtMostOnce;
    std::vector<PoolWeight> pools;
    Duration timeout{}; ///< Longest time that a call is kept waiting; 0 for no limit.
    Duration targetLatency{}; ///< Time to the answer, or to the first event of a stream.
    Duration targetGap{}; ///< Longest pause between events of a stream.
    std::uint32_t priority = 0; ///< 0 is served first.
    std::uint32_t maxAttempts = 1; ///< Targets that may run one call.
    bool open = false; ///< Callable without a key.
    bool sticky = false; ///< Calls name a model and the parts of their prompt.
    bool resumable = false; ///< A stream may be resumed at another target.
    Duration callerPatience{}; ///< Silence of a stream after which its callers leave; 0 when not known.
    bool operator==(const ServingRoute &) const = default;

    /// @brief Whether a call may run more than once.
    bool repeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && resumable);
    }
};

} // namespace celeryroute
