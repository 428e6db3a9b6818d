#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

/// A grant of one item to one host, from the replicated state.
struct ItemGrant {
    std::uint64_t fencing = 0; ///< Log offset of the grant.
    std::uint32_t memoryMb = 0;
    std::uint32_t version = 0;
    bool revoked = false;
    bool predecessor = false; ///< Held by an earlier incarnation of this host's agent.
    bool operator==(const ItemGrant &) const = default;

    /// @brief Whether a load may be ordered under this grant.
    bool permitsLoad() const
    {
        return !revoked && !predecessor;
    }
};

/// The grants of one host, by item.
using GrantTable = std::map<std::string, ItemGrant>;

} // namespace celeryroute
