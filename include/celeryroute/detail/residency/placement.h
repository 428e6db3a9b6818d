#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A host that may hold models.
struct PlacementHost {
    std::string host;
    std::string domain; ///< Failure domain.
    bool operator==(const PlacementHost &) const = default;
};

/// @brief The rendezvous weight of @p host for @p item; equal at every process.
std::uint64_t rendezvousWeight(const std::string &item, const std::string &host);

/// @brief The hosts preferred for @p item, at most @p replicas, best first.
///
/// Hosts in failure domains that have none yet go first, so that replicas spread over domains.
std::vector<std::string>
preferredHosts(const std::string &item, std::uint32_t replicas, const std::vector<PlacementHost> &hosts);

} // namespace celeryroute
