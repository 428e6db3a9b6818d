#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Membership state of a target, from the list of live hosts and the connections to the agents.
struct TargetInfo {
    std::string host;
    std::string domain; ///< Failure domain.
    bool leaving = false;
    bool drained = false;
    bool silent = false; ///< Whether its agent does not answer.

    bool available() const
    {
        return !leaving && !drained && !silent;
    }
    bool operator==(const TargetInfo &) const = default;
};

/// Storage tier from which a target can serve or load a model.
enum class ModelPlace {
    Resident,
    Loading,
    HostMemory,
    Disk,
    Remote,
};

/// A target's own report of its load. It lags behind the actual load.
struct LoadReport {
    TimePoint sampled{}; ///< When the target took the sample, on this process's clock.
    std::uint32_t running = 0;
    std::uint32_t maxConcurrent = 1;
    std::uint64_t queuedTokens = 0;
    double tokensPerSecond = 0.0; ///< Throughput of the whole target, 0 if unknown.
    bool operator==(const LoadReport &) const = default;
};

} // namespace celeryroute
