#pragma once

#include <celeryroute/detail/keeper/itemname.h>
#include <celeryroute/detail/serving/targetorder.h>
#include <celeryroute/detail/serving/targetreport.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief What a report changed in an OrderTracker.
struct ReportEffect {
    bool newLifetime = false; ///< The target has restarted.
    std::uint32_t storeLoadsStarted = 0; ///< Upper bound, without the loads of accepted orders.
};

/// @brief Tracks the items that a target holds and the effects that orders to it may still have.
///
/// It relies on one property of targets: an order with expected sequence N takes effect only while the target has
/// accepted exactly N orders. So at most one of the orders with the same N takes effect, and none of them once the
/// target's sequence is greater than N.
class OrderTracker
{
public:
    /// @brief Time within which an unanswered order may still be carried out.
    static constexpr Duration OrderLifetime = std::chrono::seconds(15);

    /// @brief Notes that @p order was sent and has no answer yet.
    /// @param storeLoad whether it loads a model from the weight store
    void noteSent(const TargetOrder &order, bool storeLoad);
    void noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now);
    ReportEffect noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now);

    /// @brief Notes that orders of an earlier agent may still take effect until @p until.
    void setForeignOrdersUntil(TimePoint until)
    {
        m_foreignOrdersUntil = until;
    }

    /// @brief Whether the next order can be decided: no answer is outstanding, and the newest report was read after
    /// the last answer that left the state of the target open.
    bool isSettled() const;
    bool hasReport() const
    {
        return m_lastRead.has_value();
    }
    /// @brief Time at which the read of the newest report that was taken over began.
    TimePoint lastRead() const
    {
        return m_lastRead.value_or(TimePoint::min());
    }
    bool isOrderInTransit() const
    {
        return m_inTransit;
    }
    bool isForeignOrderRunning() const
    {
        return m_foreignOrderRunning;
    }
    bool isBusy() const
    {
        return m_foreignOrderRunning || !m_running.empty();
    }
    std::uint64_t sequence() const
    {
        return m_sequence;
    }
    std::int64_t bornMs() const
    {
        return m_bornMs;
    }

    /// @brief Models that the newest report lists as resident, including those that are being unloaded.
    const std::vector<ResidentModel> &resident() const
    {
        return m_resident;
    }
    /// @brief Adapters that are being loaded.
    const std::vector<ItemName> &loadingAdapters() const
    {
        return m_loadingAdapters;
    }
    /// @brief Orders for models, of which the target is carrying out one. There are several if it is unknown which.
    const std::vector<TargetOrder> &running() const
    {
        return m_running;
    }
    TimePoint runningSince() const
    {
        return m_runningSince;
    }

    /// @brief Whether the newest report lists @p item as resident.
    bool holds(const ItemName &item) const;

    /// @brief Whether the target is or may be unloading @p item.
    bool isUnloading(const ItemName &item) const;

    /// @brief Unanswered loads that may still be carried out after further orders. At most one of those with the same
    /// sequence takes effect.
    std::vector<TargetOrder> possibleLaterLoads(const std::string &instance) const;

    /// @brief Number of unanswered loads from the weight store that may still begin, without those that exclude the
    /// next order.
    std::uint32_t possibleLaterStoreLoads(const std::string &instance) const;

    /// @brief Whether an unanswered order may take effect at the present sequence.
    bool isOrderInDoubt() const;

private:
    /// An order whose effect is not known.
    struct UnresolvedOrder {
        TargetOrder order;
        bool storeLoad = false;
        bool answered = false; ///< The target answered, so the order has no effect from now on.
        bool earlierLifetime = false; ///< The order was sent to an earlier lifetime of the target.
        TimePoint until; ///< The order has no effect after this time.
    };

    void accept(const UnresolvedOrder &unresolved, TimePoint now);
    void keepAnswered(UnresolvedOrder unresolved, TimePoint now);
    std::uint32_t startLifetime();
    void noteForeignOrder(TimePoint now);
    std::uint32_t advanceSequence(const TargetReport &report, TimePoint now);
    void takeOver(const TargetReport &report, TimePoint readBegan);
    bool mayFollowNextOrder(const UnresolvedOrder &unresolved, const std::string &instance) const;

    std::vector<UnresolvedOrder> m_unresolved;
    bool m_inTransit = false;
    std::optional<TimePoint> m_lastRead; ///< Start of the newest read that was taken over.
    TimePoint m_acceptReportsAfter = TimePoint::min(); ///< Reports whose read began earlier may miss an accepted order.
    TimePoint m_orderAfter = TimePoint::min(); ///< The next order needs a report whose read began later.
    TimePoint m_foreignOrdersUntil = TimePoint::min();
    std::int64_t m_bornMs = 0;
    std::uint64_t m_sequence = 0;
    std::vector<ResidentModel> m_resident;
    std::vector<ItemName> m_loadingAdapters;
    std::vector<ItemName> m_unloadingAdapters; ///< Adapters that are being unloaded.
    std::vector<TargetOrder> m_running;
    TimePoint m_runningSince;
    bool m_foreignOrderRunning = false; ///< The target is carrying out an order that this agent does not know.
};

} // namespace celeryroute
