#pragma once

#include <celeryroute/detail/state/revision.h>

#include <map>
#include <string>

namespace celeryroute {

/// Division of the customers' token budgets between entries.
struct Shares {
    Revision epoch = 0; ///< Revision of the division in force.
    Revision baseEpoch = 0; ///< Epoch of the replaced division; 0 for the first division.
    std::map<std::string, double> fractions; ///< By entry incarnation; they sum to at most 1.
    bool operator==(const Shares &) const = default;
};

} // namespace celeryroute
