#include <celeryroute/detail/keeper/orderplanner.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration UnloadTime = 20ms;
constexpr Duration AdapterTime = 10ms;
constexpr std::size_t AdaptersInTransit = 4; ///< Largest number of adapters that one target loads at a time.
constexpr double PrefetchUse = 0.05; ///< Least mean number of calls in flight for a prefetch.
constexpr double Recency = 0.1; ///< Weight of a use just now, in mean calls in flight.
constexpr double ShortestLoad = 0.001; ///< Load time in seconds that is assumed at least, to avoid a division by zero.

// Reasons for which an item is declined.
constexpr std::string_view Unknown = "unknown";
constexpr std::string_view StoreRate = "store_rate"; ///< The rate of loads from the weight store is used up.
constexpr std::string_view Refused = "refused"; ///< The target rejected an order for it recently.
constexpr std::string_view NoRoom = "no_room";

} // namespace

OrderPlanner::OrderPlanner(OrderPlannerInput input, TimePoint now)
    : m_input(std::move(input))
    , m_now(now)
    , m_room(m_input.catalog.memoryMb() - m_input.reserved.memoryMb,
             m_input.catalog.adapterSlots() - std::min(m_input.catalog.adapterSlots(), m_input.reserved.slots))
    , m_free(std::max(now, m_input.busyUntil))
    , m_storeLoads(m_input.storeLoadsPending)
{}

OrderPlan OrderPlanner::plan()
{
    const std::vector<JointWant> wants = sortedWants();
    if (!wants.empty()) {
        for (const JointWant &want : wants) {
            m_wanted.insert(toString(want.item));
            m_wanted.insert(want.item.model);
        }
        fillRoom();
        for (const JointWant &want : wants) {
            meet(want.item);
        }
    }
    expectRunning();
    return std::move(m_plan);
}

// Adapters of resident models come first, since loading one does not block other orders, while a load of a model
// blocks orders for adapters. Then items are ordered by priority, and among equals by the waiting calls and their age
// in relation to the load time.
std::vector<JointWant> OrderPlanner::sortedWants() const
{
    std::vector<JointWant> wants = m_input.demand.wants(m_now);
    const auto weight = [this](const JointWant &want) {
        const double seconds = std::max(toSeconds(m_input.catalog.loadTime(want.item.model)), ShortestLoad);
        return want.calls * (1 + toSeconds(want.age)) / seconds;
    };
    const auto models = std::partition(wants.begin(), wants.end(), [this](const JointWant &want) {
        return !want.item.adapter.empty() && m_input.ledger.holds({want.item.model, {}});
    });
    const auto before = [&weight](const JointWant &left, const JointWant &right) {
        if (left.priority != right.priority) {
            return left.priority < right.priority;
        }
        const double leftWeight = weight(left);
        const double rightWeight = weight(right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : toString(left.item) < toString(right.item);
    };
    std::sort(wants.begin(), models, before);
    std::sort(models, wants.end(), before);
    return wants;
}

void OrderPlanner::fillRoom()
{
    for (const ResidentModel &model : m_input.ledger.resident()) {
        if (!m_input.ledger.unloading({model.name, {}})) {
            m_room.add(roomModel(model));
        }
    }
    for (const TargetOrder &order : m_input.ledger.running()) {
        if (order.kind == OrderKind::Load && !m_input.ledger.holds({order.model, {}})) {
            m_room.add({order.model, m_input.catalog.modelMb(order.model), false, 0, {}});
            m_coming[order.model] = m_free;
        }
    }
    for (const ItemName &item : m_input.ledger.arriving()) {
        if (!m_input.ledger.holds(item)) {
            m_room.addAdapter(item.model, {item.adapter, m_input.catalog.adapterMb(item.model), false, 0});
        }
    }
}

RoomModel OrderPlanner::roomModel(const ResidentModel &model) const
{
    RoomModel result{model.name, m_input.catalog.modelMb(model.name), true, worthOf(model.name), {}};
    result.evictable = !m_input.demand.inFlight().contains(model.name) && !m_wanted.contains(model.name)
        && !m_input.unusedYet.contains(model.name) && !awaitsAdapter(model.name);
    for (const std::string &adapter : model.adapters) {
        if (!m_input.ledger.unloading({model.name, adapter})) {
            result.adapters.push_back(roomAdapter({model.name, adapter}));
        }
    }
    return result;
}

RoomAdapter OrderPlanner::roomAdapter(const ItemName &item) const
{
    const std::string name = toString(item);
    const bool evictable = !m_input.demand.inFlight().contains(name) && !m_wanted.contains(name);
    const double lastUsed = toSeconds(m_input.demand.lastUsed(name).time_since_epoch());
    return {item.adapter, m_input.catalog.adapterMb(item.model), evictable, lastUsed};
}

// The time to load the model again, weighted by how much and how recently it was used.
double OrderPlanner::worthOf(const std::string &model) const
{
    const double idle = std::max(toSeconds(m_now - m_input.demand.lastUsed(model)), 0.0);
    return toSeconds(m_input.catalog.loadTime(model)) * (m_input.demand.useOf(model, m_now) + Recency / (1 + idle));
}

bool OrderPlanner::awaitsAdapter(const std::string &model) const
{
    const auto &arriving = m_input.ledger.arriving();
    return std::any_of(arriving.begin(), arriving.end(), [&model](const ItemName &item) {
        return item.model == model;
    });
}

void OrderPlanner::meet(const ItemName &item)
{
    const ItemName model{item.model, {}};
    const bool held = m_input.ledger.holds(model) && !m_input.ledger.unloading(model);
    const auto coming = m_coming.find(item.model);
    if (!held && coming == m_coming.end()) {
        meetByModel(item);
        return;
    }
    if (!item.adapter.empty() && !m_input.ledger.holds(item)) {
        // A target accepts no order for an adapter while it carries out an order for a model.
        meetByAdapter(item, held ? std::max(m_now, m_input.busyUntil) : coming->second, held);
    }
}

void OrderPlanner::meetByModel(const ItemName &item)
{
    const EngineModel *model = m_input.catalog.model(item.model);
    const bool fromStore = !m_input.catalog.hasCopy(item.model);
    const bool allowed = !fromStore || m_input.share.permits(m_now, m_storeLoads);
    if (model == nullptr || !allowed || m_input.blocks.refused(item.model, m_now)) {
        m_plan.declined.push_back({toString(item), model == nullptr ? Unknown : !allowed ? StoreRate : Refused});
        return;
    }
    const bool withAdapter = !item.adapter.empty();
    const auto victims = m_room.makeRoom(model->memoryMb + (withAdapter ? model->adapterMb : 0), withAdapter ? 1 : 0);
    if (!victims) {
        m_plan.declined.push_back({toString(item), NoRoom});
        return;
    }
    m_room.add({item.model, model->memoryMb, false, 0, {}});
    m_free += static_cast<std::int64_t>(victims->size()) * UnloadTime + m_input.catalog.loadTime(item.model);
    m_coming[item.model] = m_free;
    if (withAdapter) {
        m_room.addAdapter(item.model, {item.adapter, model->adapterMb, false, 0});
        m_plan.expected.push_back({toString(item), m_free + AdapterTime});
    }
    m_storeLoads += fromStore ? 1 : 0;
    orderModel(*model, fromStore, *victims);
}

void OrderPlanner::orderModel(const EngineModel &model, bool fromStore, const std::vector<ItemName> &victims)
{
    if (m_input.blocks.blocked(model.name, m_now)) {
        return;
    }
    if (!victims.empty()) {
        unloadFirst(victims);
    } else if (!m_input.ledger.busy() && fits({model.memoryMb, 0})) {
        order({OrderKind::Load, {model.name, {}}, fromStore});
    }
}

void OrderPlanner::meetByAdapter(const ItemName &item, TimePoint modelDue, bool modelHeld)
{
    const std::string name = toString(item);
    const auto &arriving = m_input.ledger.arriving();
    if (std::find(arriving.begin(), arriving.end(), item) != arriving.end()) {
        m_plan.expected.push_back({name, m_now + AdapterTime});
        return;
    }
    const EngineModel *model = m_input.catalog.model(item.model);
    if (model == nullptr || model->adapters == 0 || m_input.blocks.refused(name, m_now)) {
        m_plan.declined.push_back({name, model == nullptr || model->adapters == 0 ? Unknown : Refused});
        return;
    }
    const auto victims = m_room.makeRoom(model->adapterMb, 1);
    if (!victims) {
        m_plan.declined.push_back({name, NoRoom});
        return;
    }
    m_room.addAdapter(item.model, {item.adapter, model->adapterMb, false, 0});
    m_plan.expected.push_back({name, modelDue + AdapterTime});
    if (!modelHeld || m_input.ledger.busy() || m_input.blocks.blocked(name, m_now)) {
        return;
    }
    if (!victims->empty()) {
        unloadFirst(*victims);
    } else if (arriving.size() < AdaptersInTransit && fits({model->adapterMb, 1})) {
        order({OrderKind::Load, item, false});
    }
}

void OrderPlanner::unloadFirst(const std::vector<ItemName> &victims)
{
    if (!m_input.ledger.busy()) {
        order({OrderKind::Unload, victims.front(), false});
    }
}

void OrderPlanner::order(PlannedOrder order)
{
    if (!m_plan.order) {
        m_plan.order = std::move(order);
    }
}

bool OrderPlanner::fits(const MemoryUse &use) const
{
    const MemoryUse sum = heldBy(m_input.ledger, m_input.catalog) + m_input.reserved + use;
    return sum.memoryMb <= m_input.catalog.memoryMb()
        && (use.slots == 0 || sum.slots <= m_input.catalog.adapterSlots());
}

void OrderPlanner::expectRunning()
{
    for (const TargetOrder &order : m_input.ledger.running()) {
        if (order.kind == OrderKind::Load) {
            m_coming.try_emplace(order.model, m_input.busyUntil);
        }
    }
    for (const auto &[name, due] : m_coming) {
        m_plan.expected.push_back({name, due});
    }
    std::sort(m_plan.expected.begin(), m_plan.expected.end(), [](const ExpectedItem &left, const ExpectedItem &right) {
        return left.item < right.item;
    });
}

OrderPlan OrderPlanner::prefetch(const EngineSpec &spec)
{
    const EngineModel *best = nullptr;
    double bestUse = PrefetchUse;
    for (const EngineModel &model : spec.models) {
        const double use = m_input.demand.useOf(model.name, m_now);
        const bool possible = use > bestUse && m_input.catalog.hasCopy(model.name)
            && !m_input.ledger.holds({model.name, {}}) && !m_input.blocks.blocked(model.name, m_now)
            && fits({model.memoryMb, 0});
        if (possible) {
            best = &model;
            bestUse = use;
        }
    }
    if (best != nullptr && !m_input.ledger.busy()) {
        order({OrderKind::Load, {best->name, {}}, false});
    }
    return std::move(m_plan);
}

} // namespace celeryroute
