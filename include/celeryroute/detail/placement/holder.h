#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

struct KnownTarget;

/// A target where the model of a call is resident, with the predicted delays of the call there.
struct Holder {
    enum class Grade {
        Healthy,
        Degraded, ///< Fails some of its calls and was not selected for its reduced share of traffic.
        Unhealthy, ///< Unreachable, or fails most of its calls.
    };

    KnownTarget *target = nullptr;
    Grade grade = Grade::Unhealthy;
    bool hasRoom = false; ///< The target has capacity for the call now.
    bool needsPermit = false; ///< The target has capacity, but its limit asks for a permit that is not held.
    double queueDelay = 0; ///< Seconds until the prefill begins.
    double firstEventDelay = 0; ///< Seconds to the first event, queueing included.
    double unloadedDelay = 0; ///< Seconds to the first event if the target had no other calls.
    double cost = 0; ///< Seconds to the first event plus penalties; the lowest cost wins.
    double roomDelay = 0; ///< Seconds until the target has capacity for the call.

    bool isBetterThan(const Holder &other) const;
};

} // namespace celeryroute
