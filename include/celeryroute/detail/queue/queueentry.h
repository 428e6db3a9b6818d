#pragma once

#include <celeryroute/detail/queue/urgencyclasses.h>
#include <celeryroute/resultcode.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryroute {

/// An attempt that waits for a slot of a target.
struct QueueEntry {
    std::string attemptId;
    std::string customer;
    std::string model; ///< Model or "model/adapter"; empty for plain services, which need no load.
    Urgency urgency = Urgency::Standard;
    double weight = 1.0; ///< Fair-queueing weight of the customer, greater than 0.
    std::uint64_t tokens = 0; ///< Worst-case cost in tokens.
    std::size_t bytes = 0; ///< Memory used by the request while it waits.
    TimePoint deadline{}; ///< Time by which the answer must be complete.
    Duration serviceTime{}; ///< Expected time from the start to the complete answer.
    bool suspect = false; ///< Whether the attempt must run alone on the target.
    bool operator==(const QueueEntry &) const = default;
};

/// An entry that was refused or evicted before it started.
struct RefusedEntry {
    QueueEntry entry;
    ResultCode code = ResultCode::Internal;
    Duration retryAfter{}; ///< Estimated time until a new attempt could succeed.
    bool operator==(const RefusedEntry &) const = default;
};

} // namespace celeryroute
