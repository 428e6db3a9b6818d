#include <celeryroute/detail/keeper/ordertracker.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxReportLag = 2s; ///< Longest time until a report shows an accepted order.

bool contains(const std::vector<TargetOrder> &orders, const TargetOrder &order)
{
    return std::find(orders.begin(), orders.end(), order) != orders.end();
}

} // namespace

void OrderTracker::noteSent(const TargetOrder &order, bool storeLoad)
{
    m_unresolved.push_back({order, storeLoad, false, false, TimePoint::max()});
    m_inTransit = true;
}

void OrderTracker::noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now)
{
    const auto found = std::find_if(m_unresolved.begin(),
                                    m_unresolved.end(),
                                    [&order](const UnresolvedOrder &unresolved) {
                                        return unresolved.until == TimePoint::max() && unresolved.order == order;
                                    });
    if (found == m_unresolved.end()) {
        return;
    }
    m_inTransit = false;
    const UnresolvedOrder unresolved = *found;
    if (outcome == OrderAnswer::InDoubt) {
        found->until = now + OrderLifetime;
        m_orderAfter = now;
        return;
    }
    m_unresolved.erase(found);
    if (outcome == OrderAnswer::Accepted) {
        accept(unresolved, now);
        return;
    }
    m_orderAfter = now;
    if (outcome == OrderAnswer::AlreadyHolds) {
        keepAnswered(unresolved, now);
        return;
    }
    if (contains(m_running, order)) {
        std::erase(m_running, order);
        m_foreignOrderRunning = m_foreignOrderRunning || m_running.empty();
    }
}

void OrderTracker::accept(const UnresolvedOrder &unresolved, TimePoint now)
{
    const TargetOrder &order = unresolved.order;
    if (unresolved.earlierLifetime) {
        m_orderAfter = now;
        keepAnswered(unresolved, now);
        return;
    }
    if (m_sequence > order.expectedSequence) {
        // A report that was read in the meantime already includes the effect of the order.
        if (contains(m_running, order)) {
            m_running = {order};
        }
        return;
    }
    m_sequence = order.expectedSequence + 1;
    m_acceptReportsAfter = now;
    if (order.adapter.empty()) {
        m_running = {order};
        m_runningSince = now;
    } else if (order.kind == OrderKind::Load) {
        m_loadingAdapters.push_back(itemOf(order));
    } else {
        m_unloadingAdapters.push_back(itemOf(order));
    }
}

// An answered order has no further effect, but the next report may show an effect that it had before.
void OrderTracker::keepAnswered(UnresolvedOrder unresolved, TimePoint now)
{
    unresolved.answered = true;
    unresolved.until = now + OrderLifetime;
    m_unresolved.push_back(unresolved);
    m_acceptReportsAfter = now;
}

ReportEffect OrderTracker::noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now)
{
    ReportEffect effect;
    if (m_lastRead && readBegan < *m_lastRead) {
        return effect;
    }
    const bool first = !m_lastRead;
    const bool older = report.sequence < m_sequence;
    const bool otherLifetime = report.bornMs != m_bornMs
        || (report.bornMs == 0 && older && readBegan >= m_acceptReportsAfter);
    if (first || otherLifetime) {
        effect.newLifetime = !first;
        effect.storeLoadsStarted = first ? 0 : startLifetime();
    } else if (readBegan < m_acceptReportsAfter || (older && now < m_acceptReportsAfter + MaxReportLag)) {
        return effect;
    } else if (report.sequence > m_sequence) {
        effect.storeLoadsStarted = advanceSequence(report, now);
    }
    m_lastRead = readBegan;
    takeOver(report, readBegan);
    return effect;
}

// The target may have carried out orders in its earlier lifetime without any report that shows it.
std::uint32_t OrderTracker::startLifetime()
{
    const bool storeLoad = std::any_of(m_unresolved.begin(),
                                       m_unresolved.end(),
                                       [this](const UnresolvedOrder &unresolved) {
                                           return unresolved.storeLoad
                                               && unresolved.order.expectedSequence >= m_sequence;
                                       });
    for (UnresolvedOrder &unresolved : m_unresolved) {
        unresolved.earlierLifetime = true;
    }
    m_running.clear();
    m_unloadingAdapters.clear();
    m_foreignOrderRunning = false;
    return storeLoad ? 1 : 0;
}

std::uint32_t OrderTracker::advanceSequence(const TargetReport &report, TimePoint now)
{
    std::vector<TargetOrder> candidates;
    bool storeLoad = false;
    bool explained = false;
    for (const UnresolvedOrder &unresolved : m_unresolved) {
        if (unresolved.order.expectedSequence != m_sequence) {
            continue;
        }
        explained = true;
        storeLoad = storeLoad || unresolved.storeLoad;
        if (unresolved.order.adapter.empty()) {
            candidates.push_back(unresolved.order);
        }
    }
    const std::uint64_t steps = report.sequence - m_sequence;
    if (!explained || steps > 1 || *m_lastRead < m_foreignOrdersUntil) {
        noteForeignOrder(now);
        return static_cast<std::uint32_t>(steps);
    }
    if (m_running.empty()) {
        m_runningSince = now;
    }
    m_running.insert(m_running.end(), candidates.begin(), candidates.end());
    return storeLoad ? 1 : 0;
}

void OrderTracker::noteForeignOrder(TimePoint now)
{
    if (!isBusy()) {
        m_runningSince = now;
    }
    m_foreignOrderRunning = true;
}

// An unconfirmed order is dropped only with a report whose read began when the order could no longer take effect. Until
// then the order may explain what a report shows.
void OrderTracker::takeOver(const TargetReport &report, TimePoint readBegan)
{
    m_bornMs = report.bornMs;
    m_sequence = report.sequence;
    m_resident = report.models;
    m_loadingAdapters.clear();
    for (const std::string &adapter : report.pendingAdapters) {
        m_loadingAdapters.push_back(parseItem(adapter));
    }
    std::erase_if(m_unloadingAdapters, [this](const ItemName &item) { return !holds(item); });
    if (!report.busy) {
        m_running.clear();
        m_foreignOrderRunning = false;
    } else if (m_running.empty()) {
        noteForeignOrder(readBegan);
    }
    std::erase_if(m_unresolved, [readBegan](const UnresolvedOrder &unresolved) {
        return unresolved.answered || unresolved.until <= readBegan;
    });
}

bool OrderTracker::holds(const ItemName &item) const
{
    return std::any_of(m_resident.begin(), m_resident.end(), [&item](const ResidentModel &model) {
        return model.name == item.model
            && (item.adapter.empty()
                || std::find(model.adapters.begin(), model.adapters.end(), item.adapter) != model.adapters.end());
    });
}

bool OrderTracker::isSettled() const
{
    return m_lastRead && !m_inTransit && *m_lastRead >= m_orderAfter;
}

bool OrderTracker::isUnloading(const ItemName &item) const
{
    return std::find(m_unloadingAdapters.begin(), m_unloadingAdapters.end(), item) != m_unloadingAdapters.end()
        || std::any_of(m_running.begin(), m_running.end(), [&item](const TargetOrder &order) {
               return order.kind == OrderKind::Unload && itemOf(order) == item;
           });
}

std::vector<TargetOrder> OrderTracker::possibleLaterLoads(const std::string &instance) const
{
    std::vector<TargetOrder> result;
    for (const UnresolvedOrder &unresolved : m_unresolved) {
        if (unresolved.order.kind == OrderKind::Load && mayFollowNextOrder(unresolved, instance)) {
            result.push_back(unresolved.order);
        }
    }
    return result;
}

std::uint32_t OrderTracker::possibleLaterStoreLoads(const std::string &instance) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_unresolved.begin(), m_unresolved.end(), [&](const UnresolvedOrder &unresolved) {
            return unresolved.storeLoad && mayFollowNextOrder(unresolved, instance);
        }));
}

bool OrderTracker::mayFollowNextOrder(const UnresolvedOrder &unresolved, const std::string &instance) const
{
    return !unresolved.answered && unresolved.order.instance == instance
        && unresolved.order.expectedSequence > m_sequence;
}

bool OrderTracker::isOrderInDoubt() const
{
    return std::any_of(m_unresolved.begin(), m_unresolved.end(), [this](const UnresolvedOrder &unresolved) {
        return !unresolved.answered && unresolved.order.expectedSequence == m_sequence;
    });
}

} // namespace celeryroute
