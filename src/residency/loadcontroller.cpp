#include <celeryroute/detail/residency/itemname.h>
#include <celeryroute/detail/residency/loadcontroller.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {

LoadController::LoadController(LoadControllerSettings settings, TimePoint now)
    : m_settings(settings)
    , m_ledger(settings.capacityMb)
    , m_startSettledAfter(now + settings.orderSettleTime)
    , m_nextInventory(now)
{}

void LoadController::updateGrants(std::shared_ptr<const GrantTable> grants)
{
    if (grants != m_grants) {
        m_grants = std::move(grants);
        m_changed = true;
    }
}

void LoadController::setCapacity(std::uint32_t capacityMb)
{
    if (capacityMb != m_settings.capacityMb) {
        m_settings.capacityMb = capacityMb;
        m_ledger.setCapacity(capacityMb);
        m_changed = true;
    }
}

void LoadController::setTrust(AuthorityTrust trust)
{
    m_changed = m_changed || trust != m_trust;
    m_trust = trust;
}

Readiness LoadController::demand(const std::string &item, const LoadDemand &demand, TimePoint now)
{
    if (!mayServe(item)) {
        return Readiness::NotAuthorized;
    }
    if (isResident(item) && !hasStaleVersion(item)) {
        return Readiness::Ready;
    }
    if (m_ledger.phase(item) == ItemPhase::Absent && !mayLoad(item)) {
        return Readiness::NotAuthorized;
    }
    ItemDemand &entry = m_demands[item];
    if (entry.waiting == 0 || isMoreUrgent(demand, entry.mostUrgent)) {
        entry.mostUrgent = demand;
    }
    ++entry.waiting;
    m_waiting.insert(item);
    m_changed = true;
    entry.lastUse = std::max(entry.lastUse, now);
    return Readiness::Waiting;
}

void LoadController::withdrawDemand(const std::string &item)
{
    ItemDemand &entry = m_demands[item];
    if (entry.waiting > 0 && --entry.waiting == 0) {
        m_waiting.erase(item);
    }
}

void LoadController::beginUse(const std::string &item, TimePoint now)
{
    ItemDemand &entry = m_demands[item];
    entry = recordUse(entry, now);
    ++entry.uses;
    if (isAdapter(item)) {
        beginUse(baseModel(item), now);
    }
}

void LoadController::endUse(const std::string &item, TimePoint now)
{
    ItemDemand &entry = m_demands[item];
    if (entry.uses > 0 && --entry.uses == 0) {
        m_changed = true;
    }
    entry.lastUse = std::max(entry.lastUse, now);
    if (isAdapter(item)) {
        endUse(baseModel(item), now);
    }
}

void LoadController::grantSlot(const std::string &item)
{
    m_demands[item].slotGranted = true;
    m_changed = true;
}

bool LoadController::confirmSend(const ModelOrder &order, TimePoint now)
{
    const auto found = m_orders.find(order.id);
    if (found == m_orders.end() || found->second.sent) {
        return false;
    }
    const bool fresh = now - order.decidedAt <= m_settings.maxDecisionAge;
    const bool load = order.kind == OrderKind::Load;
    const bool valid = load ? mayLoad(order.item) && grantOf(order.item)->fencing == order.fencing : isIdle(order.item);
    if (fresh && valid) {
        found->second.sent = true;
        return true;
    }
    m_orders.erase(found);
    m_orderOfItem.erase(order.item);
    m_changed = true;
    if (load) {
        m_ledger.confirmAbsent(order.item);
    } else {
        m_ledger.confirmResident(order.item);
    }
    return false;
}

void LoadController::onOrderEnd(std::uint64_t orderId, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_orders.find(orderId);
    if (found == m_orders.end()) {
        return;
    }
    m_changed = true;
    const ModelOrder order = found->second.order;
    m_orders.erase(found);
    m_orderOfItem.erase(order.item);
    if (outcome == OrderOutcome::InDoubt) {
        markInDoubt(order.item, order.kind, now + m_settings.orderSettleTime);
    } else if (order.kind == OrderKind::Load) {
        finishLoad(order, outcome, now);
    } else {
        finishUnload(order, outcome, now);
    }
}

void LoadController::finishLoad(const ModelOrder &order, OrderOutcome outcome, TimePoint now)
{
    ItemDemand &demand = m_demands[order.item];
    if (outcome == OrderOutcome::Done) {
        m_ledger.confirmResident(order.item);
        demand.loadTime = now - order.decidedAt;
        demand.failures = 0;
        return;
    }
    m_ledger.confirmAbsent(order.item);
    delayRetry(order.item, now + m_settings.failureBackoff);
    if (outcome == OrderOutcome::FencingRefused) {
        failItem(order.item, Error{ResultCode::NotAuthorized, "the target refused the fencing number of the load"});
    } else if (outcome == OrderOutcome::NoMemory) {
        m_inventoryRequested = true;
        failItem(order.item, Error{ResultCode::MemoryExhausted, "the target has no memory for the load"});
    } else {
        retryLoad(order.item, now);
    }
}

void LoadController::retryLoad(const std::string &item, TimePoint now)
{
    constexpr std::uint32_t MaxFailures = 3;
    ItemDemand &demand = m_demands[item];
    ++demand.failures;
    if (demand.failures < MaxFailures) {
        delayRetry(item, now + m_settings.failureBackoff * (1U << demand.failures));
        return;
    }
    demand.failures = 0;
    failItem(item, Error{ResultCode::LoadFailed, absl::StrCat("loading ", item, " failed ", MaxFailures, " times")});
}

void LoadController::finishUnload(const ModelOrder &order, OrderOutcome outcome, TimePoint now)
{
    if (outcome == OrderOutcome::Done) {
        m_ledger.confirmAbsent(order.item);
        return;
    }
    m_ledger.confirmResident(order.item);
    delayRetry(order.item, now + m_settings.failureBackoff);
}

void LoadController::delayRetry(const std::string &item, TimePoint retryAfter)
{
    m_demands[item].retryAfter = retryAfter;
    m_retries.insert(retryAfter);
}

void LoadController::failItem(const std::string &item, const Error &error)
{
    const std::set<std::string> waiting = m_waiting;
    for (const std::string &name : waiting) {
        if (name == item || baseModel(name) == item) {
            m_demands[name].waiting = 0;
            m_waiting.erase(name);
            m_failures.emplace_back(ItemFailed{name, error});
            m_changed = true;
        }
    }
}

void LoadController::markInDoubt(const std::string &item, OrderKind kind, TimePoint settledAfter)
{
    m_ledger.markUnknown(item);
    m_inDoubt[item] = InDoubtOrder{kind, settledAfter};
    m_inventoryRequested = true;
}

void LoadController::onInventory(const EngineInventory &inventory, TimePoint readStarted, TimePoint now)
{
    m_inventoryReading = false;
    m_inventoryRequested = false;
    m_changed = true;
    m_nextInventory = now + m_settings.inventoryInterval;
    std::map<std::string, const InventoryItem *> reported;
    for (const InventoryItem &entry : inventory.items) {
        reported.emplace(entry.item, &entry);
    }
    const auto known = m_ledger.items();
    for (const auto &[item, entry] : known) {
        const auto found = reported.find(item);
        reconcile(item, found == reported.end() ? nullptr : found->second, readStarted);
    }
    for (const auto &[item, entry] : reported) {
        if (!known.contains(item)) {
            reconcileReported(item, *entry, readStarted);
        }
    }
    if (readStarted >= m_startSettledAfter) {
        m_started = true;
    } else {
        m_nextInventory = std::max(now, std::min(m_nextInventory, m_startSettledAfter));
    }
}

void LoadController::reconcile(const std::string &item, const InventoryItem *reported, TimePoint readStarted)
{
    const auto doubt = m_inDoubt.find(item);
    const bool conclusive = doubt == m_inDoubt.end() || readStarted >= doubt->second.settledAfter;
    if (hasOrder(item)) {
        return;
    }
    if (reported != nullptr) {
        reconcileReported(item, *reported, readStarted);
        return;
    }
    // After an unload in doubt, absence is final at once. A load in doubt may still start.
    const bool unloaded = doubt != m_inDoubt.end() && doubt->second.kind == OrderKind::Unload;
    if (conclusive || unloaded) {
        m_ledger.confirmAbsent(item);
        m_inDoubt.erase(item);
    }
}

void LoadController::reconcileReported(const std::string &item, const InventoryItem &reported, TimePoint readStarted)
{
    if (hasOrder(item)) {
        return;
    }
    const auto doubt = m_inDoubt.find(item);
    const bool pendingUnload = doubt != m_inDoubt.end() && doubt->second.kind == OrderKind::Unload
        && readStarted < doubt->second.settledAfter;
    const bool settled = reported.phase == ItemPhase::Resident && !pendingUnload;
    LedgerItem entry{ItemPhase::Resident, reported.memoryMb, reported.version, reported.fencing};
    entry.memoryMb = std::max(entry.memoryMb, m_ledger.item(item).memoryMb);
    m_ledger.setReported(item, entry);
    if (settled) {
        m_inDoubt.erase(item);
        return;
    }
    m_ledger.markUnknown(item);
    if (doubt == m_inDoubt.end() || reported.phase == ItemPhase::Loading) {
        // The order has started, so if the item is absent later, this is the final outcome.
        m_inDoubt[item] = InDoubtOrder{OrderKind::Load, readStarted};
    }
}

void LoadController::onInventoryFailed(TimePoint now)
{
    m_inventoryReading = false;
    m_nextInventory = now + m_settings.inventoryInterval;
}

void LoadController::onTargetLost(TimePoint now)
{
    const auto known = m_ledger.items();
    for (const auto &[item, entry] : known) {
        if (!hasOrder(item) && !m_inDoubt.contains(item)) {
            markInDoubt(item, OrderKind::Load, now);
        }
    }
    m_changed = true;
    m_inventoryRequested = true;
}

void LoadController::requestInventory()
{
    m_inventoryRequested = true;
    m_changed = true;
}

void LoadController::beginDrain()
{
    m_draining = true;
    m_changed = true;
}

const MemoryLedger &LoadController::ledger() const
{
    return m_ledger;
}

bool LoadController::hasStarted() const
{
    return m_started;
}

bool LoadController::isDrained() const
{
    return m_ledger.items().empty() && m_orders.empty();
}

Duration LoadController::expectedLoadTime(const std::string &item) const
{
    const auto found = m_demands.find(item);
    return found == m_demands.end() ? ItemDemand{}.loadTime : found->second.loadTime;
}

bool LoadController::isInUse(const std::string &item) const
{
    const auto found = m_demands.find(item);
    return found != m_demands.end() && found->second.uses > 0;
}

} // namespace celeryroute
