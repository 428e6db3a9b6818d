#pragma once

#include <celeryroute/detail/keeper/demandbook.h>
#include <celeryroute/detail/keeper/enginecatalog.h>
#include <celeryroute/detail/keeper/keepersettings.h>
#include <celeryroute/detail/keeper/keeperview.h>
#include <celeryroute/detail/keeper/memoryuse.h>
#include <celeryroute/detail/keeper/orderblocks.h>
#include <celeryroute/detail/keeper/orderledger.h>
#include <celeryroute/detail/keeper/orderplan.h>
#include <celeryroute/detail/keeper/storeloadshare.h>
#include <celeryroute/detail/serving/enginespec.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryroute {

/// Decides which models and adapters one target loads and unloads.
///
/// After any input call nextOrder() once; then stateVersion(), view() and nextReportAt() are
/// current. Every order that nextOrder() returns must be sent, and its outcome noted.
class ModelKeeper
{
public:
    explicit ModelKeeper(KeeperSettings settings);

    void useSpec(const EngineSpec &spec);
    void useBounds(const ServingBounds &bounds);

    /// @brief Orders carry @p fence from now on. None is given before the first fence, nor after the
    /// target has refused one until a higher one comes.
    void useFence(std::uint64_t fence);

    /// @brief Orders are for the target called @p instance. @p successor: another instance had its
    /// address shortly before, so that orders to that one are not for it.
    void useInstance(const std::string &instance, bool successor = false);

    void noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now);

    /// @brief A report could not be read.
    void noteUnreachable(TimePoint now);

    void noteUsage(const std::string &entry, const EntryDemand &demand, TimePoint now);
    void noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now);

    /// @brief The order to send now, if any. No other comes before its outcome is noted.
    std::optional<TargetOrder> nextOrder(TimePoint now);

    /// @brief When the target's report should be read next.
    TimePoint nextReportAt(TimePoint now) const;

    KeeperView view(TimePoint now) const;

    /// @brief Items that are wanted and not loaded.
    const std::vector<DeclinedItem> &declined() const
    {
        return m_told.declined;
    }
    /// @brief When the read of the newest report began.
    TimePoint lastRead() const
    {
        return m_lastRead;
    }
    const LocalCopies &copies() const
    {
        return m_report.copies;
    }

    /// @brief Changes when the entries should hear of the view at once.
    std::uint64_t stateVersion() const
    {
        return m_stateVersion;
    }

private:
    /// What the entries were told, as far as a change must be told at once.
    struct Told {
        std::string instance;
        std::int64_t bornMs = 0;
        bool reachable = false;
        bool ordering = false;
        std::vector<ResidentModel> resident;
        std::vector<TargetOrder> running;
        LocalCopies copies;
        std::vector<ExpectedItem> expected;
        std::vector<DeclinedItem> declined;
    };

    bool ordering() const;
    bool mayOrder(TimePoint now) const;
    OrderPlan plan(TimePoint now) const;
    TargetOrder stamped(const PlannedOrder &planned) const;
    bool predecessorPossible() const;
    MemoryUse reserved() const;
    std::unordered_set<std::string> unusedYet(TimePoint now) const;
    TimePoint runningDue(TimePoint now) const;
    Duration reportInterval(TimePoint now) const;
    void noteResidents(const std::vector<ResidentModel> &before, bool newLifetime, TimePoint now);
    bool toldAll(const OrderPlan &plan) const;
    void tell();

    KeeperSettings m_settings;
    std::optional<EngineSpec> m_spec;
    EngineCatalog m_catalog;
    std::optional<std::uint64_t> m_fence;
    bool m_fenced = false; ///< The target has refused the fence.
    std::string m_instance;
    bool m_successor = false;
    bool m_reachable = false;
    TimePoint m_unreachableAt;
    TargetReport m_report; ///< Newest, for load figures and copies.
    TimePoint m_lastRead;
    OrderLedger m_ledger;
    DemandBook m_demand;
    StoreLoadShare m_share;
    OrderBlocks m_blocks;
    bool m_sentFromStore = false; ///< The order in transit is a load from the weight store.
    TimePoint m_doubtSince;
    std::unordered_map<std::string, TimePoint> m_loadedAt;
    OrderPlan m_plan;
    Told m_told;
    std::uint64_t m_stateVersion = 0;
};

} // namespace celeryroute
