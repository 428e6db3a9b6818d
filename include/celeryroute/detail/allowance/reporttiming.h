#pragma once

#include <celeryroute/time.h>

#include <cstddef>

namespace celeryroute {

/// @brief Intervals and timeouts of the reports between entries, for up to 16 entries.
struct ReportTiming {
    /// Longest time between reports.
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    /// Least time between reports of ordinary spending.
    Duration changeInterval = std::chrono::milliseconds(100);
    /// Least time between reports of large spending.
    Duration urgentInterval = std::chrono::milliseconds(10);
    /// Time until an urgent report is acknowledged, and least time between checks for timeouts.
    Duration urgentDelay = std::chrono::milliseconds(10);
    /// A peer is disconnected when its newest acknowledged report is older.
    Duration acknowledgementTimeout = std::chrono::milliseconds(1000);
    /// Whether large spending is acknowledged after urgentDelay even if its sender does not wait for that.
    bool acknowledgesLargeSpending = true;
    /// Longest time between reports that name all members and all spending.
    Duration wholeReportInterval = std::chrono::milliseconds(500);
    /// Time until an entry whose reports reach is connected only to a peer reduces the usable share.
    Duration hiddenGrace = std::chrono::milliseconds(500);
    /// A longer time between two calls of advance() means that the process was suspended.
    Duration suspensionThreshold = std::chrono::milliseconds(400);
    /// Time after its last report for which an entry counts as a member.
    Duration memberTimeout = std::chrono::seconds(30);
    /// Longest time for which a new entry waits to discover other entries.
    Duration discoveryTime = std::chrono::seconds(3);
    bool operator==(const ReportTiming &) const = default;

    /// @brief The timing for @p entries entries that report to each other, this one included.
    ///
    /// Every entry reports to all others, so the intervals grow with the number of entries. The timeouts do not: while
    /// entries are cut off from each other, each uses the shares of all others until acknowledgementTimeout.
    ReportTiming forEntries(std::size_t entries) const;
};

} // namespace celeryroute
