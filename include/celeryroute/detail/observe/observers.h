#pragma once

#include <celeryroute/detail/observe/metrics.h>
#include <celeryroute/detail/observe/timeline.h>

namespace celeryroute {

/// Where a process reports what it does; both outlive their users.
struct Observers {
    Timeline &timeline;
    Metrics &metrics;
};

} // namespace celeryroute
