#pragma once

#include <celeryroute/time.h>

#include <string>
#include <string_view>

namespace celeryroute {

/// A target counts as cold from now on.
struct ColdChange {
    std::string target;
    std::string pool;
    Duration remaining{};
    double perSecond = 0;
    std::string_view source; ///< `record`, `start` or `evacuation`.
};

} // namespace celeryroute
