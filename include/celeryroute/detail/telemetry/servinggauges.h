#pragma once

#include <celeryroute/detail/telemetry/processusage.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// This entry's share of a customer's allowance.
struct AllowanceGauge {
    std::string customer;
    double share = 0; ///< Fraction of the whole allowance, 0 to 1.
    double level = 0; ///< Requests or tokens that can be spent immediately.
    bool operator==(const AllowanceGauge &) const = default;
};

/// Loads of one target from the weight store.
struct StoreLoadGauge {
    double granted = 0; ///< Loads a second that may begin.
    double used = 0; ///< Loads a second that began in the last window.
    double wanted = 0; ///< The same, if the waiting models had been loaded too.
    std::uint64_t waitingModels = 0; ///< Models for which calls wait and that the store's rate holds back.
    Duration longestWait{};
    bool operator==(const StoreLoadGauge &) const = default;
};

/// Current values of a process, taken when its metrics are read. Values that do not apply to its role are empty.
struct ServingGauges {
    std::optional<bool> ready;
    std::optional<std::uint64_t> stateVersion;
    std::optional<Duration> stateAge; ///< Time since the start of the newest answered read of the desired state.
    std::optional<Duration> registryAge; ///< Time since the start of the newest answered read of the target registry.
    std::optional<double> retryAllowance; ///< Number of retries that the retry budget permits now.
    std::vector<AllowanceGauge> allowances;
    std::optional<StoreLoadGauge> storeLoads;
    std::uint64_t queuedRequests = 0;
    std::uint64_t runningRequests = 0;
    std::uint64_t callerConnections = 0;
    std::uint64_t targetConnections = 0;
    std::uint64_t storeConnections = 0;
    std::uint64_t incomingBytes = 0; ///< Of requests that are not complete.
    std::uint64_t acceptedBytes = 0; ///< Of complete requests, and of answers that callers have not taken.
    std::uint64_t answerBytes = 0; ///< Of targets' answers that are not complete.
    std::optional<std::uint64_t> targets;
    std::optional<std::uint64_t> shunnedTargets;
    std::optional<std::uint64_t> limitedTargets;
    std::optional<std::uint64_t> coldTargets; ///< Targets that have just started and get only some requests a second.
    std::optional<std::uint64_t> evacuatedDomains;
    std::optional<std::uint64_t> evacuatedTargets; ///< Registered targets of evacuated domains.
    std::optional<std::uint64_t> issuedTargets; ///< Targets with a limit for which this entry issues the permits.
    std::uint64_t heldPermits = 0;
    std::uint64_t wantedPermits = 0; ///< Calls of all entries that wait for permits of this entry.
    std::uint64_t peers = 0; ///< Processes whose datagrams arrive.
    std::uint64_t logLinesWritten = 0;
    std::uint64_t logLinesLeftOut = 0;
    std::uint64_t logLinesDropped = 0;
    ProcessUsage usage;
    bool operator==(const ServingGauges &) const = default;
};

} // namespace celeryroute
