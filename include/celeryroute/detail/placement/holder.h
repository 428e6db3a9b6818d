#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

struct KnownTarget;

/// What a call would meet at a target that holds its model.
struct Holder {
    enum class Grade {
        Sound,
        Doubtful, ///< Fails a part of its calls; not its turn now.
        Bad, ///< Cannot be reached, or fails most of its calls.
    };

    KnownTarget *target = nullptr;
    Grade grade = Grade::Bad;
    bool room = false;
    double wait = 0; ///< Seconds before the prompt is read.
    double total = 0; ///< Seconds to the first event.
    double alone = 0; ///< Seconds to the first event, had the target no other calls.
    double cost = 0; ///< Seconds that holders are compared by.
    double roomIn = 0; ///< Seconds until there is room.

    bool betterThan(const Holder &other) const;
};

} // namespace celeryroute
