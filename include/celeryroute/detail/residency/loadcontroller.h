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

/// Bounds of a LoadController.
struct LoadControllerSettings {
    std::uint32_t capacityMb = 0;
    /// Time after which an order whose connection has ended can no longer begin to take effect.
    Duration orderSettleTime = std::chrono::seconds(2);
    /// Oldest decision that may be sent without deciding again.
    Duration maxDecisionAge = std::chrono::milliseconds(200);
    Duration inventoryInterval = std::chrono::milliseconds(100);
    Duration failureBackoff = std::chrono::milliseconds(200);
    bool paced = false; ///< Loads need a slot of the weight store.
    bool operator==(const LoadControllerSettings &) const = default;
};

/// How far the grants at hand may be relied on.
enum class AuthorityTrust {
    Full,
    NoLoads, ///< They may have been given to others; what is loaded is still served.
    None, ///< They count as given to others: unload what is idle.
};

/// Answer to a demand for an item.
enum class Readiness {
    Ready,
    Waiting, ///< ItemReady or ItemFailed follows.
    NotAuthorized,
};

/// @brief Decides which models and adapters a target loads and unloads, and when.
///
/// Pure: step() returns what is to be done, and the owner reports what came of it.
class LoadController
{
public:
    LoadController(LoadControllerSettings settings, TimePoint now);

    /// @brief The grants of the newest agreed state.
    void updateGrants(std::shared_ptr<const GrantTable> grants);
    void setCapacity(std::uint32_t capacityMb);
    void setTrust(AuthorityTrust trust);
    /// @brief Whether step() has anything to look at; cheap, for calling it often.
    bool due(TimePoint now) const;

    /// @brief Asks for @p item; a missing one is loaded once for all that ask.
    Readiness demand(const std::string &item, const LoadDemand &demand, TimePoint now);
    /// @brief Withdraws interest of one waiting request, e.g. after its deadline.
    void withdrawDemand(const std::string &item);
    /// @brief Pins @p item and its base model until endUse().
    void beginUse(const std::string &item, TimePoint now);
    void endUse(const std::string &item, TimePoint now);
    void grantSlot(const std::string &item);

    /// @brief What is to be done now.
    ResidencyActions step(TimePoint now);
    /// @brief Whether a decided order may still go out; otherwise it is taken back.
    bool confirmSend(const ModelOrder &order, TimePoint now);
    void onOrderEnd(std::uint64_t orderId, OrderOutcome outcome, TimePoint now);
    /// @brief An inventory whose reading began at @p readStarted.
    void onInventory(const EngineInventory &inventory, TimePoint readStarted, TimePoint now);
    void onInventoryFailed(TimePoint now);
    /// @brief The target died or was replaced: nothing is known about its memory.
    void onTargetLost(TimePoint now);
    /// @brief Something points to a change at the target: read the inventory again.
    void recheck();
    /// @brief From now on every grant counts as revoked.
    void beginDrain();

    const MemoryLedger &ledger() const;
    bool started() const; ///< The predecessor's orders are over and the inventory is known.
    bool inUse(const std::string &item) const;
    bool drained() const; ///< Nothing is held and no order is out.
    Duration expectedLoadTime(const std::string &item) const;

private:
    struct OutstandingOrder {
        ModelOrder order;
        bool sent = false;
    };
    struct Doubt {
        OrderKind kind = OrderKind::Load;
        TimePoint settledAfter; ///< Readings begun later are conclusive.
    };

    const ItemGrant *grantOf(const std::string &item) const;
    bool mayLoad(const std::string &item) const;
    bool mayServe(const std::string &item) const;
    bool resident(const std::string &item) const;
    bool staleVersion(const std::string &item) const;
    bool idle(const std::string &item) const;
    std::set<std::string> neededByWaiting() const;
    std::uint64_t reclaimableMb(const std::set<std::string> &needed) const;
    bool hasOrder(const std::string &item) const;

    bool inventoryWanted() const;
    void stepInventory(ResidencyActions &actions, TimePoint now);
    void stepReadiness(ResidencyActions &actions);
    void stepUnloads(ResidencyActions &actions, TimePoint now);
    void stepReleases(ResidencyActions &actions);
    void stepLoads(ResidencyActions &actions, TimePoint now);
    std::vector<std::string> wantedItems(TimePoint now);
    bool tryLoad(const std::string &item, ResidencyActions &actions, TimePoint now);
    bool takeSlot(const std::string &item, ResidencyActions &actions);
    bool makeRoom(std::uint32_t neededMb, ResidencyActions &actions, TimePoint now);
    std::optional<std::string> cheapestVictim(const std::set<std::string> &needed, TimePoint now) const;
    void sendOrder(ModelOrder order, ResidencyActions &actions, TimePoint now);
    void orderUnload(const std::string &item, ResidencyActions &actions, TimePoint now);

    void finishLoad(const ModelOrder &order, OrderOutcome outcome, TimePoint now);
    void finishUnload(const ModelOrder &order, OrderOutcome outcome, TimePoint now);
    void retryLoad(const std::string &item, TimePoint now);
    void delayRetry(const std::string &item, TimePoint retryAfter);
    void failItem(const std::string &item, const Error &error);
    void putInDoubt(const std::string &item, OrderKind kind, TimePoint settledAfter);
    void settle(const std::string &item, const InventoryItem *reported, TimePoint readStarted);
    void settleReported(const std::string &item, const InventoryItem &reported, TimePoint readStarted);

    LoadControllerSettings m_settings;
    MemoryLedger m_ledger;
    std::shared_ptr<const GrantTable> m_grants;
    std::map<std::string, ItemDemand> m_demands;
    std::set<std::string> m_waiting; ///< Items for which requests wait.
    std::map<std::uint64_t, OutstandingOrder> m_orders;
    std::map<std::string, std::uint64_t> m_orderOfItem;
    std::map<std::string, Doubt> m_doubts;
    std::map<std::string, std::uint64_t> m_released; ///< Fencing number of the last release.
    ResidencyActions m_failures;
    TimePoint m_startSettledAfter;
    TimePoint m_nextInventory;
    std::set<TimePoint> m_retries; ///< Ends of backoffs that step() has not seen.
    std::uint64_t m_nextOrder = 1;
    bool m_started = false;
    bool m_inventoryWanted = true;
    bool m_inventoryReading = false;
    AuthorityTrust m_trust = AuthorityTrust::Full;
    bool m_draining = false;
    bool m_changed = true; ///< Something happened since the last step().
};

} // namespace celeryroute
