#pragma once

#include <celeryroute/detail/targetlimit/limitreport.h>
#include <celeryroute/time.h>

namespace celeryroute {

namespace wire {
class EntryLimits;
} // namespace wire

/// @brief Writes @p report as it is sent at @p now.
void writeLimits(const LimitReport &report, TimePoint now, wire::EntryLimits &limits);

/// @brief Reads a report that was received at @p now.
LimitReport readLimits(const wire::EntryLimits &limits, TimePoint now);

} // namespace celeryroute
