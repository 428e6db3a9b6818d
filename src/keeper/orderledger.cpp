#include <celeryroute/detail/keeper/orderledger.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReportLag = 2s; ///< Longest time until a report shows an accepted order.

bool contains(const std::vector<TargetOrder> &orders, const TargetOrder &order)
{
    return std::find(orders.begin(), orders.end(), order) != orders.end();
}

} // namespace

void OrderLedger::noteSent(const TargetOrder &order, bool storeLoad)
{
    m_doubts.push_back({order, storeLoad, false, false, TimePoint::max()});
    m_inTransit = true;
}

void OrderLedger::noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now)
{
    const auto found = std::find_if(m_doubts.begin(), m_doubts.end(), [&order](const Doubt &doubt) {
        return doubt.until == TimePoint::max() && doubt.order == order;
    });
    if (found == m_doubts.end()) {
        return;
    }
    m_inTransit = false;
    const Doubt doubt = *found;
    if (outcome == OrderAnswer::InDoubt) {
        found->until = now + OrderLife;
        m_orderAfter = now;
        return;
    }
    m_doubts.erase(found);
    if (outcome == OrderAnswer::Accepted) {
        accept(doubt, now);
        return;
    }
    m_orderAfter = now;
    if (outcome == OrderAnswer::AlreadyHolds) {
        keepAnswered(doubt, now);
        return;
    }
    if (contains(m_running, order)) {
        std::erase(m_running, order);
        m_foreign = m_foreign || m_running.empty();
    }
}

void OrderLedger::accept(const Doubt &doubt, TimePoint now)
{
    const TargetOrder &order = doubt.order;
    if (doubt.earlierLifetime) {
        m_orderAfter = now;
        keepAnswered(doubt, now);
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
    m_adoptAfter = now;
    if (order.adapter.empty()) {
        m_running = {order};
        m_runningSince = now;
    } else if (order.kind == OrderKind::Load) {
        m_arriving.push_back(itemOf(order));
    } else {
        m_leaving.push_back(itemOf(order));
    }
}

// An answered order has no further effect, but the next report may show an effect that it had before.
void OrderLedger::keepAnswered(Doubt doubt, TimePoint now)
{
    doubt.answered = true;
    doubt.until = now + OrderLife;
    m_doubts.push_back(doubt);
    m_adoptAfter = now;
}

ReportEffect OrderLedger::noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now)
{
    ReportEffect effect;
    if (m_lastRead && readBegan < *m_lastRead) {
        return effect;
    }
    const bool first = !m_lastRead;
    const bool older = report.sequence < m_sequence;
    const bool otherLifetime = report.bornMs != m_bornMs || (report.bornMs == 0 && older && readBegan >= m_adoptAfter);
    if (first || otherLifetime) {
        effect.newLifetime = !first;
        effect.storeLoadsBegan = first ? 0 : startLifetime();
    } else if (readBegan < m_adoptAfter || (older && now < m_adoptAfter + ReportLag)) {
        return effect;
    } else if (report.sequence > m_sequence) {
        effect.storeLoadsBegan = advance(report, now);
    }
    m_lastRead = readBegan;
    adopt(report, readBegan);
    return effect;
}

// The target may have carried out orders in its earlier lifetime without any report that shows it.
std::uint32_t OrderLedger::startLifetime()
{
    const bool storeLoad = std::any_of(m_doubts.begin(), m_doubts.end(), [this](const Doubt &doubt) {
        return doubt.storeLoad && doubt.order.expectedSequence >= m_sequence;
    });
    for (Doubt &doubt : m_doubts) {
        doubt.earlierLifetime = true;
    }
    m_running.clear();
    m_leaving.clear();
    m_foreign = false;
    return storeLoad ? 1 : 0;
}

std::uint32_t OrderLedger::advance(const TargetReport &report, TimePoint now)
{
    std::vector<TargetOrder> candidates;
    bool storeLoad = false;
    bool explained = false;
    for (const Doubt &doubt : m_doubts) {
        if (doubt.order.expectedSequence != m_sequence) {
            continue;
        }
        explained = true;
        storeLoad = storeLoad || doubt.storeLoad;
        if (doubt.order.adapter.empty()) {
            candidates.push_back(doubt.order);
        }
    }
    const std::uint64_t steps = report.sequence - m_sequence;
    if (!explained || steps > 1 || *m_lastRead < m_foreignUntil) {
        m_foreign = true;
        return static_cast<std::uint32_t>(steps);
    }
    if (m_running.empty()) {
        m_runningSince = now;
    }
    m_running.insert(m_running.end(), candidates.begin(), candidates.end());
    return storeLoad ? 1 : 0;
}

// An unconfirmed order is dropped only with a report whose read began when the order could no longer take effect. Until
// then the order may explain what a report shows.
void OrderLedger::adopt(const TargetReport &report, TimePoint readBegan)
{
    m_bornMs = report.bornMs;
    m_sequence = report.sequence;
    m_models = report.models;
    m_arriving.clear();
    for (const std::string &adapter : report.pendingAdapters) {
        m_arriving.push_back(parseItem(adapter));
    }
    std::erase_if(m_leaving, [this](const ItemName &item) { return !holds(item); });
    if (!report.busy) {
        m_running.clear();
        m_foreign = false;
    } else if (m_running.empty()) {
        m_foreign = true;
    }
    std::erase_if(m_doubts, [readBegan](const Doubt &doubt) { return doubt.answered || doubt.until <= readBegan; });
}

bool OrderLedger::holds(const ItemName &item) const
{
    return std::any_of(m_models.begin(), m_models.end(), [&item](const ResidentModel &model) {
        return model.name == item.model
            && (item.adapter.empty()
                || std::find(model.adapters.begin(), model.adapters.end(), item.adapter) != model.adapters.end());
    });
}

bool OrderLedger::settled() const
{
    return m_lastRead && !m_inTransit && *m_lastRead >= m_orderAfter;
}

bool OrderLedger::unloading(const ItemName &item) const
{
    return std::find(m_leaving.begin(), m_leaving.end(), item) != m_leaving.end()
        || std::any_of(m_running.begin(), m_running.end(), [&item](const TargetOrder &order) {
               return order.kind == OrderKind::Unload && itemOf(order) == item;
           });
}

std::vector<TargetOrder> OrderLedger::laterLoads(const std::string &instance) const
{
    std::vector<TargetOrder> result;
    for (const Doubt &doubt : m_doubts) {
        if (doubt.order.kind == OrderKind::Load && mayFollow(doubt, instance)) {
            result.push_back(doubt.order);
        }
    }
    return result;
}

std::uint32_t OrderLedger::laterStoreLoads(const std::string &instance) const
{
    return static_cast<std::uint32_t>(std::count_if(m_doubts.begin(), m_doubts.end(), [&](const Doubt &doubt) {
        return doubt.storeLoad && mayFollow(doubt, instance);
    }));
}

bool OrderLedger::mayFollow(const Doubt &doubt, const std::string &instance) const
{
    return !doubt.answered && doubt.order.instance == instance && doubt.order.expectedSequence > m_sequence;
}

bool OrderLedger::inDoubt() const
{
    return std::any_of(m_doubts.begin(), m_doubts.end(), [this](const Doubt &doubt) {
        return !doubt.answered && doubt.order.expectedSequence == m_sequence;
    });
}

} // namespace celeryroute
