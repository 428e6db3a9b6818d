#pragma once

#include <celeryroute/detail/queue/urgencyclasses.h>

#include <array>
#include <cstddef>

namespace celeryroute {

/// Limits of the AdmissionQueue of one target.
struct QueueLimits {
    std::size_t maxRunning = 8; ///< Number of slots of the target.
    std::size_t maxQueued = 256; ///< Maximum number of waiting entries.
    std::size_t maxBytes = 64U << 20U; ///< Maximum memory used by waiting entries.
    /// Minimum share of the dispatched tokens of each waiting class while more urgent classes wait.
    std::array<double, AllUrgencies.size()> guaranteedShare = {0.0, 0.10, 0.05};
    /// Tokens per unit of weight that a customer below its share may start before the others.
    double burstCredit = 2000.0;
    bool operator==(const QueueLimits &) const = default;
};

} // namespace celeryroute
