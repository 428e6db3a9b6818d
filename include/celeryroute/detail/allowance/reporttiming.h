#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// @brief Intervals and timeouts of the reports between entries.
struct ReportTiming {
    Duration heartbeatInterval = std::chrono::milliseconds(250); ///< Longest time between reports.
    Duration changeInterval = std::chrono::milliseconds(100); ///< Time between reports while spending changes.
    Duration urgentInterval = std::chrono::milliseconds(10); ///< Time between reports of large spending.
    Duration acknowledgementTimeout = std::chrono::milliseconds(
        1000); ///< A peer is disconnected when its newest acknowledged report is older.
    Duration hiddenGrace = std::chrono::milliseconds(
        500); ///< Time until an entry whose reports reach only a peer reduces the share.
    Duration suspensionThreshold = std::chrono::milliseconds(
        400); ///< Longest time between two calls while the process runs.
    Duration memberTimeout = std::chrono::seconds(30); ///< Time for which a silent entry counts as a member.
    Duration discoveryTime = std::chrono::seconds(3); ///< Time for which a new entry waits for other entries.
    bool operator==(const ReportTiming &) const = default;
};

} // namespace celeryroute
