#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What the load program sends.
struct LoadSettings {
    std::vector<std::string> entryUrls;
    std::string directUrl; ///< An engine that is sent the same streams directly; empty for none.
    std::vector<std::string> keys; ///< One per customer; their share of calls falls with the index.
    std::vector<std::string> models;
    std::string servicePath; ///< Of bookings; empty for none.
    double callsPerSecond = 10.0;
    double streamFraction = 0.7; ///< Of chat calls.
    double bookingFraction = 0.0; ///< Of all calls.
    unsigned maxTokens = 16;
    Duration length = std::chrono::seconds(10);
    Duration warmUp = Duration::zero(); ///< Calls of this time are not measured.
    Duration callTimeout = std::chrono::seconds(60);
    std::uint64_t seed = 1;
    bool operator==(const LoadSettings &) const = default;
};

} // namespace celeryroute
