#pragma once

#include <celeryroute/detail/queue/urgencyclasses.h>

#include <array>
#include <cstddef>

namespace celeryroute {

/// Bounds of one target's AdmissionQueue.
struct QueueLimits {
    std::size_t maxRunning = 8; ///< Slots of the target.
    std::size_t maxQueued = 256; ///< Waiting entries.
    std::size_t maxBytes = 64U << 20U; ///< Memory held by waiting entries.
    /// Share of dispatched tokens that a waiting class gets although more urgent classes wait.
    std::array<double, AllUrgencies.size()> guaranteedShare = {0.0, 0.10, 0.05};
    /// Tokens per unit of weight that a customer below its share may start ahead of the others.
    double burstCredit = 2000.0;
    bool operator==(const QueueLimits &) const = default;
};

} // namespace celeryroute
