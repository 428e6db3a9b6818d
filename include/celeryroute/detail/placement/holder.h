#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

struct KnownTarget;

/// A target that holds the model of a call, with what the call can expect there.
struct Holder {
    enum class Grade {
        Healthy,
        Degraded, ///< Fails a part of its calls and was not drawn for this call.
        Unhealthy, ///< Is unreachable or fails most of its calls.
    };

    KnownTarget *target = nullptr;
    Grade grade = Grade::Unhealthy;
    bool hasRoom = false;
    double queueDelay = 0; ///< Seconds until the prefill begins.
    double firstEventDelay = 0; ///< Seconds to the first event, queueing included.
    double unloadedDelay = 0; ///< Seconds to the first event if the target had no other calls.
    double cost = 0; ///< Seconds to the first event plus penalties; the lowest cost wins.
    double roomDelay = 0; ///< Seconds until there is room.

    bool isBetterThan(const Holder &other) const;
};

} // namespace celeryroute
