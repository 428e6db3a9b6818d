#pragma once

#include <string>

namespace celeryroute {

/// A customer's budget over the whole fleet.
struct CustomerSpec {
    std::string name;
    double tokensPerSecond = 0;
    double burstTokens = 0;
    double weight = 1; ///< Share of a contended target, relative to other customers.
    bool operator==(const CustomerSpec &) const = default;
};

} // namespace celeryroute
