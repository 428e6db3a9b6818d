#pragma once

#include <celeryroute/detail/keeper/demandtracker.h>
#include <celeryroute/detail/keeper/enginecatalog.h>
#include <celeryroute/detail/keeper/memoryplan.h>
#include <celeryroute/detail/keeper/memoryuse.h>
#include <celeryroute/detail/keeper/orderbackoff.h>
#include <celeryroute/detail/keeper/orderplan.h>
#include <celeryroute/detail/keeper/ordertracker.h>
#include <celeryroute/detail/keeper/storeloadshare.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryroute {

/// @brief Input of an OrderPlanner.
struct OrderPlannerInput {
    const OrderTracker &tracker;
    const DemandTracker &demand;
    const EngineCatalog &catalog;
    const StoreLoadShare &share;
    const OrderBackoff &backoff;
    std::unordered_set<std::string> unusedNewModels; ///< Models that were loaded recently and have not been used yet.
    MemoryUse reserved; ///< Kept free for unanswered orders that may take effect later.
    std::uint32_t storeLoadsPending = 0; ///< Unanswered loads from the weight store that may still begin.
    TimePoint busyUntil; ///< Expected end of the order in progress, or the present time if there is none.
};

/// @brief Plans the loads and unloads for the calls that wait at one moment.
///
/// Items are planned one after another, and each plan includes the memory of the items before it. An item that no
/// longer fits is therefore declined at once, before anything has been loaded.
class OrderPlanner
{
public:
    OrderPlanner(OrderPlannerInput input, TimePoint now);

    OrderPlan plan();

    /// @brief Plans the load of a frequently used model that has a local copy and fits without an unload.
    OrderPlan prefetch(const EngineSpec &spec);

private:
    std::vector<ItemBacklog> sortedBacklogs() const;
    void addPresentItems();
    PlannedModel plannedModel(const ResidentModel &model) const;
    PlannedAdapter plannedAdapter(const ItemName &item) const;
    double retentionValue(const std::string &model) const;
    bool isLoadingAdapter(const std::string &model) const;

    void planItem(const ItemName &item);
    void planModelLoad(const ItemName &item);
    void planAdapterLoad(const ItemName &item, TimePoint modelDue, bool modelHeld);
    void orderModel(const EngineModel &model, bool fromStore, const std::vector<ItemName> &victims);
    void orderUnload(const std::vector<ItemName> &victims);
    void setFirstOrder(PlannedOrder order);
    bool fits(const MemoryUse &use) const;
    void addExpectedModels();

    OrderPlannerInput m_input;
    TimePoint m_now;
    MemoryPlan m_memoryPlan;
    std::unordered_set<std::string> m_waitingItems; ///< Items for which calls wait, and the models of adapters.
    std::unordered_map<std::string, TimePoint>
        m_loadingModels; ///< Models that are being loaded or planned, with their due times.
    TimePoint m_idleAt; ///< Expected end of the order in progress and all planned orders.
    std::uint32_t m_storeLoads; ///< Loads from the weight store that are planned or may still begin.
    OrderPlan m_plan;
};

} // namespace celeryroute
