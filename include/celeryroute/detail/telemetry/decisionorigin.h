#pragma once

#include <cstdint>
#include <string>

namespace celeryroute {

/// Identifies the process that writes a log; part of every line.
struct DecisionOrigin {
    std::string host;
    std::string role;
    std::uint64_t incarnation = 0;
    bool operator==(const DecisionOrigin &) const = default;
};

} // namespace celeryroute
