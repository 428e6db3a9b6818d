#pragma once

#include <celeryroute/detail/observe/timelineevent.h>

#include <string>
#include <vector>

namespace celeryroute {

/// @brief Orders events of several processes so that every cause comes before its effects.
///
/// Sorts by logical time, then instance and sequence. Calendar clocks are shown but never compared.
std::vector<TimelineEvent> mergeTimelines(std::vector<TimelineEvent> events);

/// @brief A table for people, one line per event.
std::string timelineTable(const std::vector<TimelineEvent> &events);

/// @brief JSON lines, one event each.
std::string timelineJsonLines(const std::vector<TimelineEvent> &events);

/// @brief A trace file in the trace-event format that common viewers open: one row per process.
std::string timelineTrace(const std::vector<TimelineEvent> &events);

} // namespace celeryroute
