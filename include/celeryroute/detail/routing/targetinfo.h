#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// A target as the list of live hosts and the links to agents show it.
struct TargetInfo {
    std::string host;
    std::string domain; ///< Failure domain.
    bool leaving = false;
    bool drained = false;
    bool silent = false; ///< Its agent does not answer.

    bool available() const
    {
        return !leaving && !drained && !silent;
    }
    bool operator==(const TargetInfo &) const = default;
};

/// Where a model's checkpoint lies for one target.
enum class ModelPlace {
    Resident,
    Loading,
    HostMemory,
    Disk,
    Remote,
};

/// A target's own report of its load; it lags behind.
struct LoadReport {
    TimePoint sampled{}; ///< When the target took it, on this process's clock.
    std::uint32_t running = 0;
    std::uint32_t maxConcurrent = 1;
    std::uint64_t queuedTokens = 0;
    double tokensPerSecond = 0.0; ///< Of the whole target; 0 when not known.
    bool operator==(const LoadReport &) const = default;
};

} // namespace celeryroute
