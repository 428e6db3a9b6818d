#pragma once

#include <celeryroute/detail/telemetry/processusage.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// This entry's part of a customer's allowance.
struct AllowanceGauge {
    std::string customer;
    double share = 0; ///< Of the whole, 0 to 1.
    double level = 0; ///< Requests or tokens that may be spent at once.
    bool operator==(const AllowanceGauge &) const = default;
};

/// What a process holds when its metrics are read; values that do not apply to its role are empty.
struct ServingGauges {
    std::optional<bool> ready;
    std::optional<std::uint64_t> stateVersion;
    std::optional<Duration> stateAge; ///< Since the newest answered read of it began.
    std::optional<Duration> targetsAge; ///< The same for the registry of targets.
    std::optional<double> retryAllowance; ///< Further sends that may follow at once.
    std::vector<AllowanceGauge> allowances;
    std::uint64_t queuedRequests = 0;
    std::uint64_t runningRequests = 0;
    std::uint64_t callerConnections = 0;
    std::uint64_t targetConnections = 0;
    std::uint64_t storeConnections = 0;
    std::optional<std::uint64_t> targets;
    std::optional<std::uint64_t> shunnedTargets;
    std::uint64_t peers = 0; ///< Processes heard from.
    std::uint64_t logLinesWritten = 0;
    std::uint64_t logLinesLeftOut = 0;
    std::uint64_t logLinesDropped = 0;
    ProcessUsage usage;
    bool operator==(const ServingGauges &) const = default;
};

} // namespace celeryroute
