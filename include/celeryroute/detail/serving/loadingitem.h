#pragma once

#include <celeryroute/time.h>

#include <string>

namespace celeryroute {

/// An item that will be resident after a while.
struct LoadingItem {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    Duration remaining{}; ///< From when it was said.
    bool operator==(const LoadingItem &) const = default;
};

} // namespace celeryroute
