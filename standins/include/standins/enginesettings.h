#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// How the stand-in engine behaves.
struct EngineSettings {
    std::uint64_t memoryMb = 80'000;
    bool ignoreFencing = false;
    double tokensPerSecond = 200.0; ///< Of each request.
    Duration firstToken = std::chrono::milliseconds(20);
    unsigned maxConcurrent = 64;
    std::string weightsUrl; ///< Empty for loads that take no time.
    std::string crashMarker; ///< A request that holds this text ends the process; empty for none.
    Duration reportLag = std::chrono::milliseconds(500);
    unsigned cachePrefixes = 256;
    bool operator==(const EngineSettings &) const = default;
};

} // namespace celeryroute
