#pragma once

#include <celeryroute/time.h>

namespace celeryroute {

/// Bounds that the installation sets; all come from the settings.
struct ServingBounds {
    Duration keyRevocation = std::chrono::seconds(5); ///< A withdrawn key stops working within this.
    Duration stateApply = std::chrono::seconds(2); ///< Desired state is in force within this.
    Duration drain = std::chrono::seconds(2); ///< A leaving target gets nothing new after this.
    Duration stopGrace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    Duration addressReuse = std::chrono::seconds(2);
    double retryRatio = 0.2; ///< Further sends per first send.
    Duration retryWindow = std::chrono::seconds(10);
    double retrySlack = 52; ///< Further sends per window beside the ratio, over all entries.
    Duration quotaWindow = std::chrono::seconds(8);
    double quotaOverage = 0.1;
    double quotaSlack = 0; ///< Tokens per window beside the allowance, over all entries.
    Duration loadWindow = std::chrono::seconds(5); ///< Window of loads from the weight store.
    double loadOverage = 1.1; ///< Factor on the store's rate.
    Duration orderLease = std::chrono::seconds(3);
    bool targetsCheckFences = false;
    bool operator==(const ServingBounds &) const = default;
};

} // namespace celeryroute
