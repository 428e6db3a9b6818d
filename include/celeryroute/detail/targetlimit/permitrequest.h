#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// A request of an entry for permits to send requests to a target that has a limit.
struct PermitRequest {
    std::string target;
    std::uint32_t calls = 0; ///< Calls that wait for a permit. A newer request replaces an older one.
    std::uint32_t priority = 0; ///< Of the most urgent of them, 0 first.
    /// Time at which the entry asked, in ms on its own clock. A grant repeats it, and its permits are valid from then
    /// on.
    std::uint64_t askedAtMs = 0;
    std::uint64_t seenGrant = 0; ///< Number of the newest grant for the target that has arrived at the entry.
    bool operator==(const PermitRequest &) const = default;
};

/// Permits for an entry that has asked for them.
struct PermitGrant {
    std::string target;
    std::uint64_t number = 0; ///< Counts the grants for the target to this entry, from 1.
    std::uint32_t calls = 0; ///< 0 if there is no permit yet.
    std::uint64_t askedAtMs = 0; ///< Of the request.
    Duration nextAfter{}; ///< Time until further permits are expected, for the calls that wait now.
    bool operator==(const PermitGrant &) const = default;
};

} // namespace celeryroute
