#pragma once

#include <celeryroute/detail/state/statetables.h>

namespace celeryroute {

/// @brief The replicated state: the result of folding the platform's log up to nextOffset().
///
/// Copies are cheap and share memory. Pointers and references stay valid as long as this object;
/// nullptr means that the item does not exist.
class FleetState
{
public:
    FleetState() = default;
    explicit FleetState(StateTables tables);

    /// @brief First log offset that is not folded into this state.
    std::uint64_t nextOffset() const;
    /// @brief Whether the next record has a format that this program version cannot fold.
    bool isIncompatible() const;

    const Versioned<RouteSpec> *route(const std::string &name) const;
    const RouteTable &routes() const;
    const Versioned<PoolSpec> *pool(const std::string &name) const;
    const PoolTable &pools() const;
    const Versioned<CustomerSpec> *customer(const std::string &name) const;
    const CustomerTable &customers() const;

    /// @brief Returns the key with SHA-256 digest @p digest (32 raw bytes).
    const Versioned<KeyEntry> *key(const std::string &digest) const;
    bool isHostDraining(const std::string &host) const;
    /// @brief Holders of @p model (`model` or `model/adapter`) in @p pool; nullptr if never granted.
    const Authority *authority(const std::string &pool, const std::string &model) const;
    const ShardedMap<Authority> &authorities() const;
    const Shares &shares() const;
    /// @brief Claims of non-repeatable calls and their outcomes.
    const ClaimTable &claims() const;
    bool isQuarantined(const std::string &requestDigest) const;

    const StateTables &tables() const;
    StateTables takeTables() &&;

private:
    StateTables m_tables;
};

} // namespace celeryroute
