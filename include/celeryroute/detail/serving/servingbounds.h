#pragma once

#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// Time bounds and rate limits of the installation, from the settings.
struct ServingBounds {
    Duration keyRevocation = std::chrono::seconds(5); ///< Longest time until a revoked key stops working.
    Duration stateApply = std::chrono::seconds(2); ///< Longest time until a new desired state is applied.
    Duration drain = std::chrono::seconds(2); ///< Longest time until a draining target gets no new calls.
    Duration maxTargetPause = std::chrono::seconds(30); ///< Longest pause that a target may ask for.
    Duration stopGrace = std::chrono::seconds(8); ///< Time from SIGTERM to SIGKILL.
    Duration addressReuse = std::chrono::seconds(2);
    double retryRatio = 0.2; ///< Retries allowed per first send.
    Duration retryWindow = std::chrono::seconds(10);
    double retrySlack = 52; ///< Retries per window beyond the ratio, over all entries.
    Duration quotaWindow = std::chrono::seconds(8);
    double quotaOverage = 0.1;
    double quotaSlack = 0; ///< Tokens per window beyond the allowance, over all entries.
    Duration loadWindow = std::chrono::seconds(5); ///< Window over which loads from the weight store are limited.
    double loadOverage = 1.1; ///< Factor on the rate of the weight store.
    Duration orderLease = std::chrono::seconds(3);
    bool targetsCheckFences = false; ///< Whether targets reject orders with an outdated fencing token.
    double allowanceWait =
        0; ///< Share of a route's latency goal for which a call may wait for its customer's allowance.
    /// Longest pause between events, allowed by a route, with which routes rank the calls of equally urgent customers.
    Duration rankedGap{};
    std::uint32_t maxAnswerKb = 16'384; ///< Longest buffered answer of a target, in KiB.
    std::uint32_t maxEventKb = 1'024; ///< Longest event of a stream, in KiB.
    std::uint32_t maxAnswersMb = 32; ///< Buffered answers of all calls, in MiB.
    bool operator==(const ServingBounds &) const = default;
};

} // namespace celeryroute
