#pragma once

#include <celeryroute/detail/state/statetables.h>

namespace celeryroute {

/// @brief Everything that is agreed: the fold of the platform's log up to nextOffset().
///
/// A value: copies are cheap and share memory. Pointers and references stay valid as long as this
/// value; nullptr means that there is no such item.
class FleetState
{
public:
    FleetState() = default;
    explicit FleetState(StateTables tables);

    /// @brief First offset that this state has not folded.
    std::uint64_t nextOffset() const;
    /// @brief Whether a record was met that this version of the program cannot fold.
    bool incompatible() const;

    const Versioned<RouteSpec> *route(const std::string &name) const;
    const RouteTable &routes() const;
    const Versioned<PoolSpec> *pool(const std::string &name) const;
    const PoolTable &pools() const;
    const Versioned<CustomerSpec> *customer(const std::string &name) const;
    const CustomerTable &customers() const;

    /// @brief The key with SHA-256 digest @p digest (32 raw bytes).
    const Versioned<KeyEntry> *key(const std::string &digest) const;
    bool hostDrained(const std::string &host) const;
    /// @brief Holders of @p model (`model` or `model/adapter`) in @p pool; nullptr when never granted.
    const Authority *authority(const std::string &pool, const std::string &model) const;
    const ShardedMap<Authority> &authorities() const;
    const Shares &shares() const;
    /// @brief Calls that may not be repeated and their outcomes.
    const ClaimTable &claims() const;
    bool quarantined(const std::string &requestDigest) const;

    const StateTables &tables() const;
    StateTables takeTables() &&;

private:
    StateTables m_tables;
};

} // namespace celeryroute
