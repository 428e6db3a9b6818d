#pragma once

#include <celeryroute/detail/claims/claim.h>
#include <celeryroute/detail/claims/claimlimits.h>
#include <celeryroute/detail/claims/claimslot.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <vector>

namespace celeryroute {

/// @brief All claims whose repeats are still recognized; the result of folding the log.
///
/// Copies share their shards; a modification copies only the shards that it changes.
class ClaimTable
{
public:
    static constexpr std::size_t ShardCount = 1024;
    using ClaimPtr = std::shared_ptr<const Claim>;

    /// @brief Returns the claim that holds the key, or null.
    ClaimPtr find(const std::string &customer, const std::string &keyDigest) const;
    /// @brief Whether the key was used before the window began and must not run again.
    bool isRetired(const std::string &customer, const std::string &keyDigest) const;

    /// @brief Latest wall-clock time of a folded claim, in Unix milliseconds.
    std::int64_t timeMs() const
    {
        return m_timeMs;
    }
    /// @brief Keys created before this time are refused; it never decreases.
    std::int64_t horizonMs() const
    {
        return m_timeMs - ClaimWindowMs;
    }
    std::size_t claimCount() const
    {
        return m_claimCount;
    }
    std::size_t retiredCount() const
    {
        return m_retiredCount;
    }
    std::size_t answerBytes() const
    {
        return m_answerBytes;
    }
    /// @brief All claims, ordered by slot.
    std::vector<ClaimPtr> claims() const;
    /// @brief Slots of all retired keys in ascending order.
    std::vector<ClaimSlot> retiredSlots() const;

    bool operator==(const ClaimTable &other) const;

    /// @brief Returns this table with @p claim in its slot.
    ClaimTable with(Claim claim) &&;
    /// @brief Returns this table with the key of @p slot retired: it is refused permanently.
    ClaimTable withRetired(const ClaimSlot &slot) &&;
    /// @brief Returns this table with its time advanced to @p timeMs; an earlier time has no effect.
    ClaimTable atTime(std::int64_t timeMs) &&;
    /// @brief Returns this table without the claims of shard @p index that are older than the horizon.
    ClaimTable swept(std::size_t index) &&;

    /// @brief Index of the shard that holds the key.
    static std::size_t shardIndex(const std::string &customer, const std::string &keyDigest);

private:
    // A null claim marks a retired key.
    using Shard = absl::flat_hash_map<ClaimSlot, ClaimPtr, ClaimSlotHash>;

    const ClaimPtr *lookUp(const ClaimSlot &slot) const;
    Shard &writableShard(std::size_t index);
    void put(const ClaimSlot &slot, const ClaimPtr &claim);
    void erase(const ClaimSlot &slot);
    void subtractFromTotals(const ClaimPtr &claim);

    std::array<std::shared_ptr<Shard>, ShardCount> m_shards;
    std::int64_t m_timeMs = 0;
    std::size_t m_claimCount = 0;
    std::size_t m_retiredCount = 0;
    std::size_t m_answerBytes = 0;
};

} // namespace celeryroute
