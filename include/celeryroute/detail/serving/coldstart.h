#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// A longer time for which a target says that it is cold is taken for a mistake and ignored.
inline constexpr Duration LongestColdTime = std::chrono::hours(1);

} // namespace celeryroute
