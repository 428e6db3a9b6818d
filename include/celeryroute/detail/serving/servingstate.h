#pragma once

#include <celeryroute/detail/serving/enginespec.h>
#include <celeryroute/detail/serving/servingroute.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A named group of interchangeable targets.
struct ServingPool {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Limit per target, over all callers; 0 for no limit.
    std::optional<EngineSpec> engine; ///< Set for pools of model engines.
    Duration coldStart{}; ///< Time for which a target is cold after its start.
    double coldPerSecond = 0; ///< Requests a second that a cold target takes from all entries; 0 for no limit.
    bool operator==(const ServingPool &) const = default;
};

/// A customer with its API keys and its allowance over all entries.
struct ServingCustomer {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    bool countsTokens = false; ///< Whether the allowance counts tokens instead of requests.
    double defaultCost = 1; ///< Cost of a call without token counts.
    double ratePerSecond = 0; ///< 0 for no limit.
    double burst = 0;
    bool operator==(const ServingCustomer &) const = default;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
    std::uint64_t headerBytes = std::uint64_t{16} * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    /// Longest time from the first to the last byte of a request. If set, it replaces the limits on the
    /// header and on pauses.
    std::optional<Duration> requestTimeout;
    bool operator==(const CallerLimits &) const = default;
};

/// The complete desired state as published by the operators.
struct ServingState {
    std::uint64_t version = 0;
    std::vector<ServingRoute> routes;
    std::vector<ServingPool> pools;
    std::vector<ServingCustomer> customers;
    CallerLimits limits;
    bool operator==(const ServingState &) const = default;

    /// @brief The pool called @p name, or null.
    const ServingPool *pool(const std::string &name) const;
};

using ServingStatePtr = std::shared_ptr<const ServingState>;

} // namespace celeryroute
