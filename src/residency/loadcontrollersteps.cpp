#include <celeryroute/detail/residency/itemname.h>
#include <celeryroute/detail/residency/loadcontroller.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {

bool LoadController::isDue(TimePoint now) const
{
    const bool inventoryDue = !m_inventoryReading && needsInventory() && m_nextInventory <= now;
    const bool retryDue = !m_retries.empty() && *m_retries.begin() <= now;
    return m_changed || inventoryDue || retryDue;
}

ResidencyActions LoadController::step(TimePoint now)
{
    if (!isDue(now)) {
        return {};
    }
    m_changed = false;
    m_retries.erase(m_retries.begin(), m_retries.upper_bound(now));
    ResidencyActions actions = std::exchange(m_failures, {});
    stepReadiness(actions);
    // The owner first has to call beginUse() for the items that have become ready. Otherwise the unloads below
    // could evict them as unused.
    if (!actions.empty()) {
        m_changed = true;
        return actions;
    }
    stepInventory(actions, now);
    if (m_started && m_grants) {
        stepUnloads(actions, now);
        stepLoads(actions, now);
        stepReleases(actions);
        std::move(m_failures.begin(), m_failures.end(), std::back_inserter(actions));
        m_failures.clear();
    }
    return actions;
}

void LoadController::stepReadiness(ResidencyActions &actions)
{
    const std::set<std::string> waiting = m_waiting;
    for (const std::string &item : waiting) {
        if (isResident(item) && !hasStaleVersion(item)) {
            m_demands[item].waiting = 0;
            m_waiting.erase(item);
            actions.emplace_back(ItemReady{item});
        }
    }
}

bool LoadController::needsInventory() const
{
    return m_inventoryRequested || !m_started || !m_inDoubt.empty();
}

void LoadController::stepInventory(ResidencyActions &actions, TimePoint now)
{
    if (m_inventoryReading || !needsInventory() || now < m_nextInventory) {
        return;
    }
    m_inventoryReading = true;
    actions.emplace_back(ReadInventory{});
}

void LoadController::stepUnloads(ResidencyActions &actions, TimePoint now)
{
    const auto items = m_ledger.items();
    for (const auto &[item, entry] : items) {
        const bool unwanted = !mayServe(item) || hasStaleVersion(item);
        if (unwanted && entry.phase == ItemPhase::Resident && isIdle(item) && m_demands[item].retryAfter <= now) {
            orderUnload(item, actions, now);
        }
    }
}

void LoadController::stepReleases(ResidencyActions &actions)
{
    for (const auto &[item, grant] : *m_grants) {
        // Only one agent runs on a host at a time, so the predecessor that holds this grant has ended. This
        // process releases the grant in its place and is granted the item in the same log record.
        const bool takeOver = grant.predecessor && !grant.revoked && !m_draining;
        const bool ended = (grant.revoked || m_draining) && m_ledger.phase(item) == ItemPhase::Absent;
        if ((takeOver || ended) && m_released[item] != grant.fencing) {
            m_released[item] = grant.fencing;
            actions.emplace_back(ReleaseGrant{item, grant.fencing, takeOver});
        }
    }
}

void LoadController::stepLoads(ResidencyActions &actions, TimePoint now)
{
    for (const std::string &item : itemsToLoad(now)) {
        // While an item waits for memory to be freed, less urgent items are not loaded, even if they would fit
        // now, because they would take that memory.
        if (!tryLoad(item, actions, now)) {
            return;
        }
    }
}

std::vector<std::string> LoadController::itemsToLoad(TimePoint now)
{
    std::map<std::string, LoadDemand> wanted;
    const auto add = [&wanted](const std::string &item, const LoadDemand &demand) {
        const auto [entry, inserted] = wanted.emplace(item, demand);
        if (!inserted && isMoreUrgent(demand, entry->second)) {
            entry->second = demand;
        }
    };
    std::vector<std::string> refused;
    for (const std::string &item : m_waiting) {
        if (m_ledger.phase(item) != ItemPhase::Absent) {
            continue;
        }
        const ItemDemand &demand = m_demands[item];
        const std::string base = baseModel(item);
        const bool needsBase = isAdapter(item) && m_ledger.phase(base) == ItemPhase::Absent;
        const bool baseServed = !isAdapter(item) || mayServe(base);
        if (!mayLoad(item) || !baseServed || (needsBase && !mayLoad(base))) {
            refused.push_back(item);
        } else if (needsBase) {
            add(base, demand.mostUrgent);
        } else if (!isAdapter(item) || m_ledger.phase(base) == ItemPhase::Resident) {
            add(item, demand.mostUrgent);
        }
    }
    for (const std::string &item : refused) {
        failItem(item, Error{ResultCode::NotAuthorized, absl::StrCat("this host may not hold ", item)});
    }
    std::vector<std::string> order;
    for (const auto &[item, demand] : wanted) {
        if (m_demands[item].retryAfter <= now) {
            order.push_back(item);
        }
    }
    std::stable_sort(order.begin(), order.end(), [&wanted](const std::string &left, const std::string &right) {
        return isMoreUrgent(wanted.at(left), wanted.at(right));
    });
    return order;
}

bool LoadController::tryLoad(const std::string &item, ResidencyActions &actions, TimePoint now)
{
    const ItemGrant grant = *grantOf(item);
    if (grant.memoryMb > m_ledger.capacityMb()) {
        failItem(item, Error{ResultCode::MemoryExhausted, absl::StrCat(item, " is larger than the target's memory")});
        return true;
    }
    if (grant.memoryMb > m_ledger.freeMb()) {
        return !makeRoom(grant.memoryMb, actions, now);
    }
    if (!takeSlot(item, actions)) {
        return true;
    }
    m_ledger.reserve(item, LedgerItem{ItemPhase::Loading, grant.memoryMb, grant.version, grant.fencing});
    sendOrder(ModelOrder{0, OrderKind::Load, item, grant.memoryMb, grant.version, grant.fencing, now}, actions, now);
    return true;
}

bool LoadController::takeSlot(const std::string &item, ResidencyActions &actions)
{
    if (!m_settings.paced) {
        return true;
    }
    ItemDemand &demand = m_demands[item];
    if (demand.slotGranted) {
        demand.slotGranted = false;
        demand.slotRequested = false;
        return true;
    }
    if (!demand.slotRequested) {
        demand.slotRequested = true;
        actions.emplace_back(RequestLoadSlot{item, demand.mostUrgent.priority, demand.mostUrgent.deadline});
    }
    return false;
}

bool LoadController::makeRoom(std::uint32_t neededMb, ResidencyActions &actions, TimePoint now)
{
    const std::set<std::string> needed = neededByWaiting();
    std::uint64_t coming = std::uint64_t(m_ledger.freeMb()) + m_ledger.unloadingMb();
    if (coming + reclaimableMb(needed) < neededMb) {
        return false;
    }
    while (coming < neededMb) {
        const std::optional<std::string> candidate = cheapestEvictionCandidate(needed, now);
        if (!candidate) {
            break;
        }
        coming += m_ledger.item(*candidate).memoryMb;
        orderUnload(*candidate, actions, now);
    }
    return true;
}

std::optional<std::string> LoadController::cheapestEvictionCandidate(const std::set<std::string> &needed,
                                                                     TimePoint now) const
{
    std::optional<std::string> candidate;
    double lowest = 0;
    for (const auto &[item, entry] : m_ledger.items()) {
        if (entry.phase != ItemPhase::Resident || needed.contains(item) || !isIdle(item)) {
            continue;
        }
        const auto demand = m_demands.find(item);
        const bool retryLater = demand != m_demands.end() && demand->second.retryAfter > now;
        const double score = evictionCost(demand == m_demands.end() ? ItemDemand{} : demand->second,
                                          entry.memoryMb,
                                          now);
        if (!retryLater && (!candidate || score < lowest)) {
            candidate = item;
            lowest = score;
        }
    }
    return candidate;
}

void LoadController::orderUnload(const std::string &item, ResidencyActions &actions, TimePoint now)
{
    const LedgerItem entry = m_ledger.item(item);
    const ItemGrant *grant = grantOf(item);
    const std::uint64_t fencing = std::max(entry.fencing, grant == nullptr ? 0 : grant->fencing);
    if (m_ledger.beginUnload(item)) {
        sendOrder(ModelOrder{0, OrderKind::Unload, item, entry.memoryMb, entry.version, fencing, now}, actions, now);
    }
}

void LoadController::sendOrder(ModelOrder order, ResidencyActions &actions, TimePoint now)
{
    order.id = m_nextOrder++;
    order.decidedAt = now;
    m_orderOfItem[order.item] = order.id;
    m_orders[order.id] = OutstandingOrder{order};
    actions.emplace_back(SendOrder{order});
}

const ItemGrant *LoadController::grantOf(const std::string &item) const
{
    if (!m_grants) {
        return nullptr;
    }
    const auto found = m_grants->find(item);
    return found == m_grants->end() ? nullptr : &found->second;
}

bool LoadController::mayLoad(const std::string &item) const
{
    const ItemGrant *grant = grantOf(item);
    return !m_draining && m_trust == AuthorityTrust::Full && grant != nullptr && grant->permitsLoad();
}

bool LoadController::mayServe(const std::string &item) const
{
    if (m_draining || m_trust == AuthorityTrust::None) {
        return false;
    }
    // Before the first replicated state arrives, items loaded by a predecessor are served and nothing is
    // loaded or unloaded.
    if (!m_grants) {
        return m_ledger.phase(item) != ItemPhase::Absent;
    }
    const ItemGrant *grant = grantOf(item);
    const bool own = grant != nullptr && !grant->revoked;
    return own && (!isAdapter(item) || mayServe(baseModel(item)));
}

bool LoadController::isResident(const std::string &item) const
{
    const bool own = m_ledger.phase(item) == ItemPhase::Resident;
    return own && (!isAdapter(item) || m_ledger.phase(baseModel(item)) == ItemPhase::Resident);
}

bool LoadController::hasStaleVersion(const std::string &item) const
{
    const ItemGrant *grant = grantOf(item);
    const bool held = m_ledger.phase(item) != ItemPhase::Absent;
    const bool own = held && grant != nullptr && m_ledger.item(item).version != grant->version;
    return own || (isAdapter(item) && hasStaleVersion(baseModel(item)));
}

bool LoadController::isIdle(const std::string &item) const
{
    if (isInUse(item)) {
        return false;
    }
    if (isAdapter(item)) {
        return true;
    }
    return std::none_of(m_ledger.items().begin(), m_ledger.items().end(), [&item](const auto &entry) {
        return isAdapter(entry.first) && baseModel(entry.first) == item;
    });
}

std::set<std::string> LoadController::neededByWaiting() const
{
    std::set<std::string> needed = m_waiting;
    for (const std::string &item : m_waiting) {
        needed.insert(baseModel(item));
    }
    return needed;
}

std::uint64_t LoadController::reclaimableMb(const std::set<std::string> &needed) const
{
    std::uint64_t sum = 0;
    for (const auto &[item, entry] : m_ledger.items()) {
        // Using an adapter also counts as using its model, so an unused model has only unused adapters and
        // can be evicted after them.
        if (entry.phase == ItemPhase::Resident && !isInUse(item) && !needed.contains(item)) {
            sum += entry.memoryMb;
        }
    }
    return sum;
}

bool LoadController::hasOrder(const std::string &item) const
{
    return m_orderOfItem.contains(item);
}

} // namespace celeryroute
