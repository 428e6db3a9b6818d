#include "residencysimulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute::test {

namespace {

constexpr std::uint32_t CapacityMb = 100;
constexpr int MaxTransitMs = 400;

const std::map<std::string, std::uint32_t> ItemSizes =
    {{"m1", 40}, {"m1/a", 5}, {"m1/b", 10}, {"m2", 50}, {"m2/a", 10}, {"m3", 30}, {"m4", 60}};

} // namespace

ResidencySimulation::ResidencySimulation(std::uint64_t seed, ScheduleFaults faults)
    : m_faults(faults)
    , m_random(seed)
    , m_now(std::chrono::hours(1))
{
    m_settings.capacityMb = CapacityMb;
    m_settings.orderSettleTime = std::chrono::milliseconds(MaxTransitMs + 100);
    for (const auto &[item, size] : ItemSizes) {
        m_grants[item] = ItemGrant{m_offset++, size, 1, false, false};
    }
    restartAgent();
}

bool ResidencySimulation::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

Duration ResidencySimulation::randomDuration(int minMs, int maxMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<>(minMs, maxMs)(m_random));
}

const std::string &ResidencySimulation::randomItem()
{
    auto item = ItemSizes.begin();
    std::advance(item, std::uniform_int_distribution<std::size_t>(0, ItemSizes.size() - 1)(m_random));
    return item->first;
}

std::string ResidencySimulation::step()
{
    m_now += randomDuration(1, 40);
    deliver();
    advanceEngine();
    if (chance(0.03)) {
        changeGrants();
    }
    if (chance(m_faults.engineDies)) {
        killEngine();
    }
    if (chance(m_faults.agentRestarts)) {
        restartAgent();
    }
    finishInventory();
    useItems();
    runController();
    return m_violation.empty() ? check() : m_violation;
}

bool ResidencySimulation::runUntilServed()
{
    m_faults = ScheduleFaults{m_faults.engineChecksFencing, 0, 0, 0, 0, 0};
    for (auto &[item, grant] : m_grants) {
        grant = ItemGrant{m_offset++, grant.memoryMb, grant.version, false, false};
    }
    m_controller->updateGrants(std::make_shared<const GrantTable>(m_grants));
    for (const std::string &item : std::exchange(m_uses, {})) {
        m_controller->endUse(item, m_now);
    }
    constexpr int MaxSteps = 20'000;
    for (int count = 0; count < MaxSteps; ++count) {
        m_now += randomDuration(1, 40);
        deliver();
        advanceEngine();
        finishInventory();
        runController();
        for (const std::string &item : std::exchange(m_uses, {})) {
            m_controller->endUse(item, m_now);
        }
        if (!m_violation.empty() || !check().empty()) {
            return false;
        }
        if (std::all_of(m_waiting.begin(), m_waiting.end(), [](const auto &entry) { return entry.second == 0; })) {
            return true;
        }
    }
    return false;
}

void ResidencySimulation::changeGrants()
{
    ItemGrant &grant = m_grants[randomItem()];
    if (!grant.revoked && chance(0.5)) {
        grant.revoked = true;
    } else {
        grant.revoked = false;
        grant.predecessor = false;
        grant.fencing = m_offset++;
        grant.version += chance(0.2) ? 1 : 0;
    }
    m_controller->updateGrants(std::make_shared<const GrantTable>(m_grants));
}

void ResidencySimulation::useItems()
{
    if (chance(0.3)) {
        const std::string item = randomItem();
        const LoadDemand demand{std::uniform_int_distribution<>(0, 2)(m_random), m_now + std::chrono::seconds(5)};
        const Readiness readiness = m_controller->demand(item, demand, m_now);
        if (readiness == Readiness::Ready) {
            m_controller->beginUse(item, m_now);
            m_uses.push_back(item);
        } else if (readiness == Readiness::Waiting) {
            ++m_waiting[item];
        }
    }
    if (!m_uses.empty() && chance(0.35)) {
        m_controller->endUse(m_uses.back(), m_now);
        m_uses.pop_back();
    }
}

void ResidencySimulation::runController()
{
    for (int round = 0; round < 20; ++round) {
        const ResidencyActions actions = m_controller->step(m_now);
        for (const ResidencyAction &action : actions) {
            perform(action);
        }
        if (actions.empty()) {
            return;
        }
    }
    m_violation = "the controller keeps returning actions without end";
}

void ResidencySimulation::perform(const ResidencyAction &action)
{
    if (const auto *order = std::get_if<SendOrder>(&action)) {
        send(order->order);
    } else if (std::holds_alternative<ReadInventory>(action)) {
        m_reading = true;
        m_readStarted = m_now;
        m_readEnds = m_now + randomDuration(1, 100);
    } else if (const auto *ready = std::get_if<ItemReady>(&action)) {
        for (std::uint32_t count = std::exchange(m_waiting[ready->item], 0); count > 0; --count) {
            m_controller->beginUse(ready->item, m_now);
            m_uses.push_back(ready->item);
            ++m_readyRequests;
        }
    } else if (const auto *failed = std::get_if<ItemFailed>(&action)) {
        m_waiting[failed->item] = 0;
    }
}

void ResidencySimulation::send(const ModelOrder &order)
{
    if (chance(m_faults.pauseBeforeSend)) {
        m_now += randomDuration(1, 3000);
        changeGrants();
    }
    if (!m_controller->confirmSend(order, m_now)) {
        return;
    }
    const bool busy = std::any_of(m_transit.begin(), m_transit.end(), [&order](const OrderInTransit &transit) {
        return transit.order.item == order.item;
    });
    const auto held = m_engine.find(order.item);
    const bool changing = held != m_engine.end() && held->second.phase != ItemPhase::Resident;
    if (busy || changing) {
        m_violation = absl::StrCat("second order in flight for ", order.item);
    }
    if (order.kind == OrderKind::Load && !m_grants[order.item].permitsLoad()) {
        m_violation = absl::StrCat("load without authority of ", order.item);
    }
    if (order.kind == OrderKind::Unload && std::find(m_uses.begin(), m_uses.end(), order.item) != m_uses.end()) {
        m_violation = absl::StrCat("unload of ", order.item, " while it is in use");
    }
    ++m_orders;
    m_transit.push_back(OrderInTransit{order, m_now + randomDuration(1, MaxTransitMs), true});
}

void ResidencySimulation::answer(std::uint64_t order, OrderOutcome outcome)
{
    m_controller->onOrderEnd(order, chance(m_faults.loseAnswer) ? OrderOutcome::InDoubt : outcome, m_now);
}

void ResidencySimulation::deliver()
{
    for (OrderInTransit &transit : m_transit) {
        // The connection may be lost before the order arrives.
        if (transit.answered && chance(m_faults.loseAnswer * 0.1)) {
            transit.answered = false;
            m_controller->onOrderEnd(transit.order.id, OrderOutcome::InDoubt, m_now);
        }
    }
    std::vector<OrderInTransit> arrived;
    const auto late = std::stable_partition(m_transit.begin(), m_transit.end(), [this](const OrderInTransit &transit) {
        return transit.arrives > m_now;
    });
    arrived.assign(late, m_transit.end());
    m_transit.erase(late, m_transit.end());
    for (const OrderInTransit &transit : arrived) {
        arrive(transit);
    }
}

void ResidencySimulation::arrive(const OrderInTransit &transit)
{
    const ModelOrder &order = transit.order;
    std::uint64_t &highest = m_highestFencing[order.item];
    if (m_faults.engineChecksFencing && order.fencing < highest) {
        if (transit.answered) {
            answer(order.id, OrderOutcome::FencingRefused);
        }
        return;
    }
    highest = std::max(highest, order.fencing);
    EngineItem &held = m_engine[order.item];
    held.phase = order.kind == OrderKind::Load ? ItemPhase::Loading : ItemPhase::Unloading;
    held.memoryMb = order.memoryMb;
    held.version = order.version;
    held.fencing = order.fencing;
    held.order = order.id;
    held.answered = transit.answered;
    held.until = m_now + randomDuration(5, 800);
    held.fails = order.kind == OrderKind::Load && chance(m_faults.storeFails);
}

void ResidencySimulation::advanceEngine()
{
    for (auto entry = m_engine.begin(); entry != m_engine.end();) {
        EngineItem &held = entry->second;
        if (held.phase == ItemPhase::Resident || held.until > m_now) {
            ++entry;
            continue;
        }
        const bool loaded = held.phase == ItemPhase::Loading && !held.fails;
        if (held.answered) {
            answer(held.order, held.fails ? OrderOutcome::StoreFailed : OrderOutcome::Done);
        }
        held.answered = false;
        held.phase = ItemPhase::Resident;
        entry = loaded ? std::next(entry) : m_engine.erase(entry);
    }
}

void ResidencySimulation::killEngine()
{
    m_controller->onTargetLost(m_now);
    for (const auto &[item, held] : m_engine) {
        if (held.answered) {
            m_controller->onOrderEnd(held.order, OrderOutcome::InDoubt, m_now);
        }
    }
    for (const OrderInTransit &transit : m_transit) {
        if (transit.answered) {
            m_controller->onOrderEnd(transit.order.id, OrderOutcome::InDoubt, m_now);
        }
    }
    m_engine.clear();
    m_transit.clear();
    if (m_reading) {
        m_reading = false;
        m_controller->onInventoryFailed(m_now);
    }
}

void ResidencySimulation::restartAgent()
{
    for (OrderInTransit &transit : m_transit) {
        transit.answered = false;
        // The connection ends with the process, which bounds the time of arrival.
        transit.arrives = std::min(transit.arrives, m_now + std::chrono::milliseconds(MaxTransitMs));
    }
    for (auto &[item, held] : m_engine) {
        held.answered = false;
    }
    for (auto &[item, grant] : m_grants) {
        grant.predecessor = m_controller != nullptr;
    }
    m_waiting.clear();
    m_uses.clear();
    m_reading = false;
    m_controller = std::make_unique<LoadController>(m_settings, m_now);
    m_controller->updateGrants(std::make_shared<const GrantTable>(m_grants));
}

void ResidencySimulation::finishInventory()
{
    if (!m_reading || m_readEnds > m_now) {
        return;
    }
    m_reading = false;
    m_controller->onInventory(inventory(), m_readStarted, m_now);
}

EngineInventory ResidencySimulation::inventory() const
{
    EngineInventory result;
    result.memoryMb = CapacityMb;
    for (const auto &[item, held] : m_engine) {
        result.items.push_back(InventoryItem{item, held.memoryMb, held.version, held.fencing, held.phase});
    }
    return result;
}

std::string ResidencySimulation::check() const
{
    std::uint32_t used = 0;
    for (const auto &[item, held] : m_engine) {
        used += held.memoryMb;
    }
    if (used > CapacityMb) {
        return absl::StrCat("engine memory overcommitted: ", used);
    }
    if (!m_controller->hasStarted()) {
        return "";
    }
    for (const auto &[item, held] : m_engine) {
        if (m_controller->ledger().phase(item) == ItemPhase::Absent) {
            return absl::StrCat(item, " is in memory but missing from the ledger");
        }
    }
    return "";
}

std::size_t ResidencySimulation::ordersSent() const
{
    return m_orders;
}

std::size_t ResidencySimulation::readyRequests() const
{
    return m_readyRequests;
}

} // namespace celeryroute::test
