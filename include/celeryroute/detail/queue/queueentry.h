#pragma once

#include <celeryroute/detail/queue/urgencyclasses.h>
#include <celeryroute/resultcode.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryroute {

/// One attempt that waits for a slot of a target.
struct QueueEntry {
    std::string attemptId;
    std::string customer;
    std::string model; ///< Model or "model/adapter"; empty for plain services, which need no load.
    Urgency urgency = Urgency::Standard;
    double weight = 1.0; ///< Of the customer; above 0.
    std::uint64_t tokens = 0; ///< Worst-case cost.
    std::size_t bytes = 0; ///< Memory that the request holds while it waits.
    TimePoint deadline{}; ///< By which the answer must be whole.
    Duration serviceTime{}; ///< Expected time from start to the whole answer.
    bool suspect = false; ///< Must run alone on the target.
    bool operator==(const QueueEntry &) const = default;
};

/// An entry that left the queue without having been started.
struct RefusedEntry {
    QueueEntry entry;
    ResultCode code = ResultCode::Internal;
    Duration retryAfter{}; ///< Estimated time until a new attempt could succeed.
    bool operator==(const RefusedEntry &) const = default;
};

} // namespace celeryroute
