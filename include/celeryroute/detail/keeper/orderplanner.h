#pragma once

#include <celeryroute/detail/keeper/demandbook.h>
#include <celeryroute/detail/keeper/enginecatalog.h>
#include <celeryroute/detail/keeper/memoryuse.h>
#include <celeryroute/detail/keeper/orderblocks.h>
#include <celeryroute/detail/keeper/orderledger.h>
#include <celeryroute/detail/keeper/orderplan.h>
#include <celeryroute/detail/keeper/roomplan.h>
#include <celeryroute/detail/keeper/storeloadshare.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryroute {

/// What a OrderPlanner decides by.
struct OrderPlannerInput {
    const OrderLedger &ledger;
    const DemandBook &demand;
    const EngineCatalog &catalog;
    const StoreLoadShare &share;
    const OrderBlocks &blocks;
    std::unordered_set<std::string> unusedYet; ///< Models just loaded for calls that are still to come.
    MemoryUse reserved; ///< For orders that may follow the next one.
    std::uint32_t storeLoadsPending = 0;
    TimePoint busyUntil; ///< When the order in progress is done; the present time without one.
};

/// Plans loads and unloads for the wants of one moment.
///
/// Wants are met in turn, each on top of what those before it need: so a want that no room is left
/// for is declined at once, although nothing has been loaded yet.
class OrderPlanner
{
public:
    OrderPlanner(OrderPlannerInput input, TimePoint now);

    OrderPlan plan();

    /// @brief A load that needs no unload, from a local copy, of a model that was much used.
    OrderPlan prefetch(const EngineSpec &spec);

private:
    std::vector<JointWant> sortedWants() const;
    void fillRoom();
    RoomModel roomModel(const ResidentModel &model) const;
    RoomAdapter roomAdapter(const ItemName &item) const;
    double worthOf(const std::string &model) const;
    bool awaitsAdapter(const std::string &model) const;

    void meet(const ItemName &item);
    void meetByModel(const ItemName &item);
    void meetByAdapter(const ItemName &item, TimePoint modelDue, bool modelHeld);
    void orderModel(const EngineModel &model, bool fromStore, const std::vector<ItemName> &victims);
    void unloadFirst(const std::vector<ItemName> &victims);
    void order(PlannedOrder order);
    bool fits(const MemoryUse &use) const;
    void expectRunning();

    OrderPlannerInput m_input;
    TimePoint m_now;
    RoomPlan m_room;
    std::unordered_set<std::string> m_wanted; ///< Items, and models of adapters.
    std::unordered_map<std::string, TimePoint> m_coming; ///< Models that are or will be loading.
    TimePoint m_free; ///< When the order in progress and those planned are done.
    std::uint32_t m_storeLoads; ///< That may yet begin.
    OrderPlan m_plan;
};

} // namespace celeryroute
