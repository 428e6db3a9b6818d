#pragma once

#include <celeryroute/detail/gateway/streamreport.h>
#include <celeryroute/time.h>

namespace celeryroute {

namespace wire {
class EntryStreams;
} // namespace wire

/// @brief Writes @p report into @p streams.
void writeStreams(const StreamReport &report, TimePoint now, wire::EntryStreams &streams);

/// @brief Returns the report in @p streams.
StreamReport readStreams(const wire::EntryStreams &streams, TimePoint now);

} // namespace celeryroute
