#pragma once

#include <celeryroute/detail/residency/engineinventory.h>
#include <celeryroute/detail/residency/granttable.h>
#include <celeryroute/detail/residency/itemdemand.h>
#include <celeryroute/detail/residency/memoryledger.h>
#include <celeryroute/detail/residency/residencyaction.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// Capacity and time limits of a LoadController.
struct LoadControllerSettings {
    std::uint32_t capacityMb = 0;
    /// Time after the end of its connection from which an order can no longer start to take effect.
    Duration orderSettleTime = std::chrono::seconds(2);
    /// Maximum age of a decision at the time of sending. Older decisions are made again.
    Duration maxDecisionAge = std::chrono::milliseconds(200);
    /// Minimum time between two inventory readings.
    Duration inventoryInterval = std::chrono::milliseconds(100);
    Duration failureBackoff = std::chrono::milliseconds(200);
    bool paced = false; ///< Whether each load needs a load slot of the weight store.
    bool operator==(const LoadControllerSettings &) const = default;
};

/// How far the known grants may be relied on.
enum class AuthorityTrust {
    Full, ///< The grants are current.
    NoLoads, ///< Items may have been granted to other hosts: load nothing, but serve what is loaded.
    None, ///< Items are assumed to be granted to other hosts: serve nothing and unload idle items.
};

/// Result of a demand for an item.
enum class Readiness {
    Ready,
    Waiting, ///< An ItemReady or ItemFailed action follows.
    NotAuthorized,
};

/// @brief Decides which models and adapters a target loads and unloads, and when.
///
/// The class performs no I/O. step() returns the actions to perform, and the owner reports their outcomes.
class LoadController
{
public:
    LoadController(LoadControllerSettings settings, TimePoint now);

    /// @brief Replaces the grants by those of the newest replicated state.
    void updateGrants(std::shared_ptr<const GrantTable> grants);
    void setCapacity(std::uint32_t capacityMb);
    void setTrust(AuthorityTrust trust);
    /// @brief Whether step() has anything to do. Cheap enough to be called often.
    bool isDue(TimePoint now) const;

    /// @brief Requests @p item. A missing item is loaded once for all waiting requests.
    Readiness demand(const std::string &item, const LoadDemand &demand, TimePoint now);
    /// @brief Withdraws the demand of one waiting request, e.g. after its deadline.
    void withdrawDemand(const std::string &item);
    /// @brief Protects @p item and its base model from eviction until endUse().
    void beginUse(const std::string &item, TimePoint now);
    void endUse(const std::string &item, TimePoint now);
    /// @brief Grants the load slot requested by RequestLoadSlot.
    void grantSlot(const std::string &item);

    /// @brief Returns the actions to perform now.
    ResidencyActions step(TimePoint now);
    /// @brief Whether a decided order may still be sent. If not, the order is cancelled.
    bool confirmSend(const ModelOrder &order, TimePoint now);
    void onOrderEnd(std::uint64_t orderId, OrderOutcome outcome, TimePoint now);
    /// @brief Reconciles the ledger with an inventory whose reading started at @p readStarted.
    void onInventory(const EngineInventory &inventory, TimePoint readStarted, TimePoint now);
    void onInventoryFailed(TimePoint now);
    /// @brief The target crashed or was replaced, so that the contents of its memory are unknown.
    void onTargetLost(TimePoint now);
    /// @brief Requests a new inventory reading after a possible change at the target.
    void requestInventory();
    /// @brief Treats every grant as revoked from now on.
    void beginDrain();

    const MemoryLedger &ledger() const;
    /// @brief Whether the inventory is known and no order of an earlier process can still take effect.
    bool hasStarted() const;
    bool isInUse(const std::string &item) const;
    /// @brief Whether nothing is in memory and no order is outstanding.
    bool isDrained() const;
    Duration expectedLoadTime(const std::string &item) const;

private:
    struct OutstandingOrder {
        ModelOrder order;
        bool sent = false;
    };
    /// An order with an unknown outcome.
    struct InDoubtOrder {
        OrderKind kind = OrderKind::Load;
        TimePoint settledAfter; ///< Inventory readings started at this time or later are conclusive.
    };

    const ItemGrant *grantOf(const std::string &item) const;
    bool mayLoad(const std::string &item) const;
    bool mayServe(const std::string &item) const;
    bool isResident(const std::string &item) const;
    bool hasStaleVersion(const std::string &item) const;
    bool isIdle(const std::string &item) const;
    std::set<std::string> neededByWaiting() const;
    std::uint64_t reclaimableMb(const std::set<std::string> &needed) const;
    bool hasOrder(const std::string &item) const;

    bool needsInventory() const;
    void stepInventory(ResidencyActions &actions, TimePoint now);
    void stepReadiness(ResidencyActions &actions);
    void stepUnloads(ResidencyActions &actions, TimePoint now);
    void stepReleases(ResidencyActions &actions);
    void stepLoads(ResidencyActions &actions, TimePoint now);
    std::vector<std::string> itemsToLoad(TimePoint now);
    bool tryLoad(const std::string &item, ResidencyActions &actions, TimePoint now);
    bool takeSlot(const std::string &item, ResidencyActions &actions);
    bool makeRoom(std::uint32_t neededMb, ResidencyActions &actions, TimePoint now);
    std::optional<std::string> cheapestEvictionCandidate(const std::set<std::string> &needed, TimePoint now) const;
    void sendOrder(ModelOrder order, ResidencyActions &actions, TimePoint now);
    void orderUnload(const std::string &item, ResidencyActions &actions, TimePoint now);

    void finishLoad(const ModelOrder &order, OrderOutcome outcome, TimePoint now);
    void finishUnload(const ModelOrder &order, OrderOutcome outcome, TimePoint now);
    void retryLoad(const std::string &item, TimePoint now);
    void delayRetry(const std::string &item, TimePoint retryAfter);
    void failItem(const std::string &item, const Error &error);
    void markInDoubt(const std::string &item, OrderKind kind, TimePoint settledAfter);
    void reconcile(const std::string &item, const InventoryItem *reported, TimePoint readStarted);
    void reconcileReported(const std::string &item, const InventoryItem &reported, TimePoint readStarted);

    LoadControllerSettings m_settings;
    MemoryLedger m_ledger;
    std::shared_ptr<const GrantTable> m_grants;
    std::map<std::string, ItemDemand> m_demands;
    std::set<std::string> m_waiting; ///< Items that requests wait for.
    std::map<std::uint64_t, OutstandingOrder> m_orders;
    std::map<std::string, std::uint64_t> m_orderOfItem;
    std::map<std::string, InDoubtOrder> m_inDoubt;
    std::map<std::string, std::uint64_t> m_released; ///< Fencing number of the last released grant, by item.
    ResidencyActions m_failures; ///< ItemFailed actions for the next step().
    TimePoint m_startSettledAfter;
    TimePoint m_nextInventory;
    std::set<TimePoint> m_retries; ///< Ends of backoffs that step() has not handled.
    std::uint64_t m_nextOrder = 1;
    bool m_started = false;
    bool m_inventoryRequested = true;
    bool m_inventoryReading = false; ///< A reading is in progress.
    AuthorityTrust m_trust = AuthorityTrust::Full;
    bool m_draining = false;
    bool m_changed = true; ///< Whether a relevant input changed since the last step().
};

} // namespace celeryroute
