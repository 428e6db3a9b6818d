#pragma once

#include <celeryroute/detail/keeper/demandbook.h>
#include <celeryroute/detail/keeper/keepersettings.h>
#include <celeryroute/detail/keeper/keeperview.h>
#include <celeryroute/detail/keeper/orderledger.h>
#include <celeryroute/detail/keeper/roomplan.h>
#include <celeryroute/detail/keeper/storeloadshare.h>
#include <celeryroute/detail/serving/enginespec.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Decides which models and adapters one target loads and unloads.
///
/// After any input call nextOrder() once; then stateVersion(), view() and nextReportAt() are
/// current. Every order that nextOrder() returns must be sent and its outcome noted.
class ModelKeeper
{
public:
    explicit ModelKeeper(KeeperSettings settings);

    void useSpec(const EngineSpec &spec);

    /// @brief Orders carry @p fence from now on. No order is given before the first, nor after a
    /// target has refused one until a higher one comes.
    void useFence(std::uint64_t fence);

    /// @brief Orders are for the target called @p instance. @p successor: another instance had its
    /// address shortly before, so that orders to that one are not for it.
    void useInstance(const std::string &instance, bool successor = false);

    void noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now);

    /// @brief A report could not be read.
    void noteUnreachable(TimePoint now);

    void noteUsage(const std::string &entry, const EntryDemand &demand, TimePoint now);
    void noteOutcome(const TargetOrder &order, OrderOutcome outcome, TimePoint now);

    /// @brief The order to send now, if any. No other comes before its outcome is noted.
    std::optional<TargetOrder> nextOrder(TimePoint now);

    /// @brief When the target's report should be read next.
    TimePoint nextReportAt(TimePoint now) const;

    KeeperView view(TimePoint now) const;

    /// @brief Changes when the entries should hear of the view at once.
    std::uint64_t stateVersion() const
    {
        return m_stateVersion;
    }

private:
    struct Expected {
        std::string item;
        TimePoint due;
    };
    struct Block {
        TimePoint until;
        Duration delay{};
        bool refused = false; ///< The target will not have it.
    };
    struct Planning;

    bool ordering() const;
    bool mayOrder(TimePoint now) const;
    void plan(Planning &planning);
    void planWant(Planning &planning, const ItemDemand &want);
    void planModel(Planning &planning, const ItemName &item);
    void planAdapter(Planning &planning, const ItemName &item);
    void planPrefetch(Planning &planning) const;
    void unloadFirst(Planning &planning, const std::vector<ItemName> &victims) const;
    void issue(Planning &planning, OrderKind kind, const ItemName &item, bool storeLoad) const;
    std::vector<ItemDemand> sortedWants(TimePoint now) const;
    void fillRoom(Planning &planning) const;
    RoomModel roomModel(const Planning &planning, const ResidentModel &model) const;
    RoomAdapter roomAdapter(const Planning &planning, const ItemName &item) const;

    bool predecessorPossible(TimePoint now) const;
    void reserve(double &memoryMb, std::uint32_t &slots, TimePoint now) const;
    bool fits(double memoryMb, std::uint32_t slots, TimePoint now) const;
    double heldMb() const;
    std::uint32_t heldSlots() const;
    bool arrives(const ItemName &item) const;

    const EngineModel *model(const std::string &name) const;
    double modelMb(const std::string &name) const;
    double adapterMb(const std::string &name) const;
    bool hasCopy(const std::string &name) const;
    Duration loadTime(const std::string &name) const;
    double worthOf(const std::string &name, TimePoint now) const;
    bool freshlyLoaded(const std::string &name, TimePoint now) const;
    TimePoint runningDue(TimePoint now) const;
    Duration reportInterval(TimePoint now) const;
    void noteResidents(const std::vector<ResidentModel> &before, bool newLifetime, TimePoint now);
    void block(const TargetOrder &order, OrderOutcome outcome, TimePoint now);
    void publish(const Planning &planning);

    KeeperSettings m_settings;
    std::optional<EngineSpec> m_spec;
    std::unordered_map<std::string, EngineModel> m_models; ///< Also those that the spec no longer has.
    double m_largestMb = 0; ///< Of the models.
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
    bool m_sentStoreLoad = false; ///< The order in transit is a load from the weight store.
    TimePoint m_doubtSince;
    std::unordered_map<std::string, TimePoint> m_loadedAt;
    std::unordered_map<std::string, Block> m_blocks; ///< By item.
    std::vector<Expected> m_expected;
    std::vector<std::string> m_declined;
    KeeperView m_published;
    std::vector<Expected> m_publishedExpected;
    std::uint64_t m_stateVersion = 0;
};

} // namespace celeryroute
