#pragma once

#include <celeryroute/time.h>

#include <string>

namespace celeryroute {

/// A model or adapter that is being loaded.
struct LoadingItem {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    Duration remaining{}; ///< Time until it is resident, counted from the report.
    bool operator==(const LoadingItem &) const = default;
};

} // namespace celeryroute
