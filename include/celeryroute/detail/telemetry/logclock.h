#pragma once

#include <cstdint>

namespace celeryroute {

/// The clocks of this host that a line shows.
struct LogClock {
    std::int64_t wallMs = 0; ///< Calendar time; may differ between hosts.
    std::int64_t bootMs = 0; ///< Monotonic, and goes on while the host is suspended.
    bool operator==(const LogClock &) const = default;
};

/// @brief Reads the clocks of this host.
LogClock readLogClock();

} // namespace celeryroute
