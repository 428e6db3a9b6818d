#pragma once

#include <celeryroute/time.h>

#include <string>
#include <string_view>

namespace celeryroute {

/// Ejection of a target, or its return to service.
struct HealthChange {
    std::string target;
    bool ejected = false;
    std::string_view reason;
    Duration span{}; ///< On ejection: time until the next probe. On return: how long the target was ejected.
    bool operator==(const HealthChange &) const = default;
};

} // namespace celeryroute
