#pragma once

#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// @brief The present time on a clock that also counts while the host is suspended.
TimePoint bootTimeNow();

/// @brief Milliseconds since the Unix epoch; for log lines only.
std::int64_t wallClockMs();

} // namespace celeryroute
