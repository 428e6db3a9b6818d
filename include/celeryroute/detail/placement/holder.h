#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

struct KnownTarget;

/// A target that holds the model of a call, with what the call can expect there.
struct Holder {
    enum class Grade {
        Sound,
        Doubtful, ///< Fails a part of its calls and was not drawn for this call.
        Bad, ///< Is unreachable or fails most of its calls.
    };

    KnownTarget *target = nullptr;
    Grade grade = Grade::Bad;
    bool room = false;
    double wait = 0; ///< Seconds until the prefill begins.
    double total = 0; ///< Seconds to the first event, queueing included.
    double alone = 0; ///< Seconds to the first event if the target had no other calls.
    double cost = 0; ///< Seconds to the first event plus penalties; the lowest cost wins.
    double roomIn = 0; ///< Seconds until there is room.

    bool betterThan(const Holder &other) const;
};

} // namespace celeryroute
