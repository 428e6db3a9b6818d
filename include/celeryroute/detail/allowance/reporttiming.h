#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// @brief Intervals and timeouts of the reports between entries.
struct ReportTiming {
    /// Longest time between reports.
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    /// Least time between reports of ordinary spending.
    Duration changeInterval = std::chrono::milliseconds(100);
    /// Least time between reports of large spending, and between checks for timeouts.
    Duration urgentInterval = std::chrono::milliseconds(10);
    /// A peer is disconnected when its newest acknowledged report is older.
    Duration acknowledgementTimeout = std::chrono::milliseconds(1000);
    /// Time until an entry whose reports reach is connected only to a peer reduces the usable share.
    Duration hiddenGrace = std::chrono::milliseconds(500);
    /// A longer time between two calls of advance() means that the process was suspended.
    Duration suspensionThreshold = std::chrono::milliseconds(400);
    /// Time after its last report for which an entry counts as a member.
    Duration memberTimeout = std::chrono::seconds(30);
    /// Longest time for which a new entry waits to discover other entries.
    Duration discoveryTime = std::chrono::seconds(3);
    bool operator==(const ReportTiming &) const = default;
};

} // namespace celeryroute
