#pragma once

#include <celeryroute/customerspec.h>
#include <celeryroute/detail/claims/claimtable.h>
#include <celeryroute/detail/state/authority.h>
#include <celeryroute/detail/state/keyentry.h>
#include <celeryroute/detail/state/shardedmap.h>
#include <celeryroute/detail/state/shares.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

#include <map>

namespace celeryroute {

using RouteTable = std::map<std::string, Versioned<RouteSpec>>;
using PoolTable = std::map<std::string, Versioned<PoolSpec>>;
using CustomerTable = std::map<std::string, Versioned<CustomerSpec>>;

/// The tables of a FleetState; a copy shares them until it is edited.
struct StateTables {
    std::uint64_t nextOffset = 0; ///< First log offset that is not folded.
    std::uint32_t newestFormat = 0; ///< Highest format of all folded records.
    std::uint32_t refusedFormat = 0; ///< Format of the record at nextOffset if it cannot be folded; 0 otherwise.
    CopyOnWrite<RouteTable> routes;
    CopyOnWrite<PoolTable> pools;
    CopyOnWrite<CustomerTable> customers;
    ShardedMap<Versioned<KeyEntry>> keys; ///< By key digest.
    ShardedMap<Versioned<bool>> drains; ///< By host; the value says whether it is draining.
    ShardedMap<Authority> authorities; ///< By authorityKey().
    CopyOnWrite<Shares> shares;
    ShardedMap<Versioned<bool>> quarantines; ///< By request digest; false once lifted.
    CopyOnWrite<ClaimTable> claims;
    ShardedMap<Revision> recentIds; ///< Ids of the last RecentIdWindow records, and possibly some older ones.
};

/// @brief Returns the key of @p model in @p pool in StateTables::authorities.
std::string authorityKey(const std::string &pool, const std::string &model);

} // namespace celeryroute
