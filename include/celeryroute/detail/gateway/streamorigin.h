#pragma once

#include <compare>
#include <string>

namespace celeryroute {

/// Where a stream began.
struct StreamOrigin {
    std::string pool;
    std::string softwareVersion; ///< Of the target that sent the first event.
    auto operator<=>(const StreamOrigin &) const = default;
};

} // namespace celeryroute
