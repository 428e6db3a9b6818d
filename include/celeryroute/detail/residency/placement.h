#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// A host that models can be placed on.
struct PlacementHost {
    std::string host;
    std::string domain; ///< Failure domain.
    bool operator==(const PlacementHost &) const = default;
};

/// @brief Rendezvous-hashing weight of @p host for @p item, equal in all processes.
std::uint64_t rendezvousWeight(const std::string &item, const std::string &host);

/// @brief Returns the preferred hosts for @p item, at most @p replicas, best first.
///
/// Hosts in failure domains without a chosen host are preferred, so that replicas spread over domains.
std::vector<std::string>
preferredHosts(const std::string &item, std::uint32_t replicas, const std::vector<PlacementHost> &hosts);

} // namespace celeryroute
