#pragma once

#include <cstdint>

namespace celeryroute {

/// Clock readings of this host, written into every log line.
struct LogClock {
    std::int64_t wallMs = 0; ///< Milliseconds since the Unix epoch; may differ between hosts.
    std::int64_t bootMs = 0; ///< Milliseconds since boot; monotonic, and advances while the host is suspended.
    bool operator==(const LogClock &) const = default;
};

/// @brief Reads the clocks of this host.
LogClock readLogClock();

} // namespace celeryroute
