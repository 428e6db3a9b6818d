#pragma once

#include <celeryroute/detail/routing/targetinfo.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A target with its rendezvous-hashing score for one key.
struct RankedTarget {
    std::uint64_t score = 0; ///< Targets with a higher score are preferred.
    std::string host;
    std::string domain;
    bool operator==(const RankedTarget &) const = default;
};

/// @brief Returns the @p size targets with the highest scores, best first, spread evenly over the
/// failure domains where each domain has enough targets.
std::vector<RankedTarget> rendezvousSubset(std::vector<RankedTarget> targets, std::size_t size);

} // namespace celeryroute
