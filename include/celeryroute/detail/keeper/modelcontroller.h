#pragma once

#include <celeryroute/detail/keeper/demandtracker.h>
#include <celeryroute/detail/keeper/enginecatalog.h>
#include <celeryroute/detail/keeper/memoryuse.h>
#include <celeryroute/detail/keeper/modelcontrollersettings.h>
#include <celeryroute/detail/keeper/orderbackoff.h>
#include <celeryroute/detail/keeper/orderplan.h>
#include <celeryroute/detail/keeper/ordertracker.h>
#include <celeryroute/detail/keeper/storeloadshare.h>
#include <celeryroute/detail/keeper/targetstatus.h>
#include <celeryroute/detail/serving/enginespec.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryroute {

/// @brief Decides which models and adapters one target loads and unloads.
///
/// Call nextOrder() once after each input. stateVersion(), status() and nextReportAt() are up to date only after that
/// call. The caller must send every order that nextOrder() returns and pass its outcome to noteOutcome().
class ModelController
{
public:
    explicit ModelController(ModelControllerSettings settings);

    void setSpec(const EngineSpec &spec);
    void setBounds(const ServingBounds &bounds);

    /// @brief Sets the fencing token of all further orders. No order is given before the first token is set, nor
    /// after the target has refused a token until a higher one is set.
    void setFence(std::uint64_t fence);

    /// @brief Sets the target to which orders are addressed.
    /// @param successor whether another instance used the same address shortly before. Orders to that instance do
    /// not apply to this one.
    void setInstance(const std::string &instance, bool successor = false);

    void noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now);

    /// @brief Notes that a report could not be read.
    void noteUnreachable(TimePoint now);

    void noteUsage(const std::string &entry, const EntryDemand &demand, TimePoint now);
    void noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now);

    /// @brief The order to send now, if any. No further order is returned before its outcome is noted.
    std::optional<TargetOrder> nextOrder(TimePoint now);

    /// @brief Time at which the target's report should be read next.
    TimePoint nextReportAt(TimePoint now) const;

    TargetStatus status(TimePoint now) const;

    /// @brief Items for which calls wait and that cannot be loaded now.
    const std::vector<DeclinedItem> &declined() const
    {
        return m_published.declined;
    }
    /// @brief Time at which the read of the newest report began.
    TimePoint lastRead() const
    {
        return m_lastRead;
    }
    const LocalCopies &copies() const
    {
        return m_report.copies;
    }

    const StoreLoadShare &storeLoadShare() const
    {
        return m_storeLoadShare;
    }

    /// @brief Entries with calls that wait for an item of the target.
    std::vector<std::string> waitingEntries(TimePoint now) const
    {
        return m_demand.waitingEntries(now);
    }

    /// @brief A number that changes whenever the status should be published to the entries at once.
    std::uint64_t stateVersion() const
    {
        return m_stateVersion;
    }

private:
    /// Published state of which every change must be published at once.
    struct PublishedState {
        std::string instance;
        std::int64_t bornMs = 0;
        bool reachable = false;
        bool ordering = false;
        bool leaving = false;
        std::vector<ResidentModel> resident;
        std::vector<TargetOrder> running;
        LocalCopies copies;
        std::vector<ExpectedItem> expected;
        std::vector<DeclinedItem> declined;
    };

    bool canOrder() const;
    bool isReadyForOrder(TimePoint now) const;
    OrderPlan plan(TimePoint now) const;
    TargetOrder makeOrder(const PlannedOrder &planned) const;
    bool mayHavePredecessorOrder() const;
    MemoryUse reservedMemory() const;
    std::unordered_set<std::string> unusedNewModels(TimePoint now) const;
    TimePoint runningOrderDue(TimePoint now) const;
    Duration reportInterval(TimePoint now) const;
    void updateLoadTimes(const std::vector<ResidentModel> &before, bool newLifetime, TimePoint now);
    bool isPublished(const OrderPlan &plan) const;
    void publish();

    ModelControllerSettings m_settings;
    std::optional<EngineSpec> m_spec;
    EngineCatalog m_catalog;
    std::optional<std::uint64_t> m_fence;
    bool m_fenced = false; ///< The target has refused the fencing token.
    std::string m_instance;
    bool m_successor = false;
    bool m_reachable = false;
    TimePoint m_unreachableAt;
    bool m_leaving = false; ///< The target has said in this lifetime that it is leaving.
    TargetReport m_report; ///< Newest report, used for load figures and local copies.
    TimePoint m_lastRead;
    OrderTracker m_tracker;
    DemandTracker m_demand;
    StoreLoadShare m_storeLoadShare;
    OrderBackoff m_backoff;
    bool m_sentFromStore = false; ///< The order in transit is a load from the weight store.
    TimePoint m_inDoubtSince;
    std::unordered_map<std::string, TimePoint> m_loadedAt;
    OrderPlan m_plan;
    PublishedState m_published;
    std::uint64_t m_stateVersion = 0;
};

} // namespace celeryroute
