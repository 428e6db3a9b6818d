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

/// What a report changed in the ledger.
struct ReportEffect {
    bool newLifetime = false;
    std::uint32_t storeLoadsBegan = 0; ///< At most; beside those of accepted orders.
};

/// What a target holds and what orders to it may still do.
///
/// Rests on one property of targets: an order with expected sequence N takes effect only while the
/// target has accepted exactly N orders. So at most one of the orders with one N takes effect, and
/// none of them once the sequence has moved on.
class OrderLedger
{
public:
    /// In which an order without an answer may be carried out.
    static constexpr Duration OrderLife = std::chrono::seconds(15);

    /// @brief An order that has not been answered yet.
    void noteSent(const TargetOrder &order, bool storeLoad);
    void noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now);
    ReportEffect noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now);

    /// @brief Orders of an earlier agent may still take effect until @p until.
    void useForeignUntil(TimePoint until)
    {
        m_foreignUntil = until;
    }

    /// @brief Whether the next order can be decided: all answers are in, and a report is newer.
    bool settled() const;
    bool known() const
    {
        return m_lastRead.has_value();
    }
    /// @brief When the read of the newest report that was taken over began.
    TimePoint lastRead() const
    {
        return m_lastRead.value_or(TimePoint::min());
    }
    bool inTransit() const
    {
        return m_inTransit;
    }
    bool foreignRunning() const
    {
        return m_foreign;
    }
    bool busy() const
    {
        return m_foreign || !m_running.empty();
    }
    std::uint64_t sequence() const
    {
        return m_sequence;
    }
    std::int64_t bornMs() const
    {
        return m_bornMs;
    }

    /// @brief Resident by report, also while being unloaded.
    const std::vector<ResidentModel> &resident() const
    {
        return m_models;
    }
    /// @brief Adapters on their way.
    const std::vector<ItemName> &arriving() const
    {
        return m_arriving;
    }
    /// @brief Model orders of which one is being carried out.
    const std::vector<TargetOrder> &running() const
    {
        return m_running;
    }
    TimePoint runningSince() const
    {
        return m_runningSince;
    }

    /// @brief Whether @p item is resident by report.
    bool holds(const ItemName &item) const;

    /// @brief Whether an unload of @p item is or may be in progress.
    bool unloading(const ItemName &item) const;

    /// @brief Loads that may yet be carried out after further orders, the dearest per sequence.
    std::vector<TargetOrder> laterLoads(const std::string &instance) const;

    /// @brief Loads from the weight store that may yet begin, other than in place of the next order.
    std::uint32_t laterStoreLoads(const std::string &instance) const;

    /// @brief Whether an order without an answer may take effect at the present sequence.
    bool inDoubt() const;

private:
    struct Doubt {
        TargetOrder order;
        bool storeLoad = false;
        bool answered = false; ///< Has or had its effect, if any.
        bool earlierLifetime = false; ///< Sent to an earlier lifetime.
        TimePoint until; ///< No effect after this.
    };

    void accept(const Doubt &doubt, TimePoint now);
    void keepAnswered(Doubt doubt, TimePoint now);
    std::uint32_t startLifetime();
    std::uint32_t advance(const TargetReport &report, TimePoint now);
    void adopt(const TargetReport &report, TimePoint readBegan);
    bool mayFollow(const Doubt &doubt, const std::string &instance) const;

    std::vector<Doubt> m_doubts;
    bool m_inTransit = false;
    std::optional<TimePoint> m_lastRead; ///< Begin of the newest read that was taken over.
    TimePoint m_adoptAfter = TimePoint::min(); ///< Reports begun before miss an accepted order.
    TimePoint m_orderAfter = TimePoint::min(); ///< The next order needs a report begun after.
    TimePoint m_foreignUntil = TimePoint::min();
    std::int64_t m_bornMs = 0;
    std::uint64_t m_sequence = 0;
    std::vector<ResidentModel> m_models;
    std::vector<ItemName> m_arriving;
    std::vector<ItemName> m_leaving; ///< Adapters that are being unloaded.
    std::vector<TargetOrder> m_running;
    TimePoint m_runningSince;
    bool m_foreign = false; ///< An order that this agent does not know is being carried out.
};

} // namespace celeryroute
