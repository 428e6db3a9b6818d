#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Intervals and limits of the exchange between entries.
struct AllowanceTiming {
    Duration heartbeat = std::chrono::milliseconds(250); ///< Longest time between reports.
    Duration changed = std::chrono::milliseconds(100); ///< Between reports while spending changes.
    Duration urgent = std::chrono::milliseconds(10); ///< Between reports of large spending.
    Duration silence = std::chrono::milliseconds(1000); ///< Since a report that a peer acknowledged.
    Duration grace = std::chrono::milliseconds(500); ///< For entries that some hear and others do not.
    Duration stall = std::chrono::milliseconds(400); ///< Between two calls of a process that runs.
    Duration memberMemory = std::chrono::seconds(30);
    Duration discovery = std::chrono::seconds(3); ///< A new entry expects others for this long.
    bool operator==(const AllowanceTiming &) const = default;
};

} // namespace celeryroute
