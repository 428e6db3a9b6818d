#pragma once

#include <celeryroute/detail/routing/targetinfo.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A target with its rank for one key.
struct RankedTarget {
    std::uint64_t score = 0; ///< The highest goes first.
    std::string host;
    std::string domain;
    bool operator==(const RankedTarget &) const = default;
};

/// @brief Score of @p host for @p key; equal in all processes.
std::uint64_t rendezvousScore(const std::string &key, const std::string &host);

/// @brief The @p size targets of the highest score, best first, spread evenly over the failure
/// domains as far as there are enough.
std::vector<RankedTarget> rendezvousSubset(std::vector<RankedTarget> targets, std::size_t size);

} // namespace celeryroute
