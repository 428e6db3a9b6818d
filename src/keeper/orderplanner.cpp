#include <celeryroute/detail/keeper/orderplanner.h>

#include <celeryroute/detail/keeper/declinereasons.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration UnloadTime = 20ms; ///< Expected time to unload one item.
constexpr Duration AdapterTime = 10ms; ///< Expected time to load an adapter.
constexpr std::size_t MaxLoadingAdapters = 4; ///< Largest number of adapters that one target loads at a time.
constexpr double MinPrefetchUse = 0.05; ///< A model is prefetched only if its mean number of calls in flight is higher.
constexpr double RecencyWeight = 0.1; ///< Mean calls in flight that are added for a model used just now.
constexpr double MinLoadSeconds = 0.001; ///< Lower limit of the load time in seconds, which avoids a division by zero.

} // namespace

OrderPlanner::OrderPlanner(OrderPlannerInput input, TimePoint now)
    : m_input(std::move(input))
    , m_now(now)
    , m_memoryPlan(m_input.catalog.memoryMb() - m_input.reserved.memoryMb,
                   m_input.catalog.adapterSlots() - std::min(m_input.catalog.adapterSlots(), m_input.reserved.slots))
    , m_idleAt(std::max(now, m_input.busyUntil))
    , m_storeLoads(m_input.storeLoadsPending)
{}

OrderPlan OrderPlanner::plan()
{
    const std::vector<ItemBacklog> backlogs = sortedBacklogs();
    if (!backlogs.empty()) {
        for (const ItemBacklog &backlog : backlogs) {
            m_waitingItems.insert(toString(backlog.item));
            m_waitingItems.insert(backlog.item.model);
        }
        addPresentItems();
        for (const ItemBacklog &backlog : backlogs) {
            planItem(backlog.item);
        }
    }
    addExpectedModels();
    return std::move(m_plan);
}

// Adapters of resident models come first, since loading one does not block other orders, while a load of a model
// blocks orders for adapters. Within both groups, items are ordered by priority, then by the number and age of the
// waiting calls in relation to the load time.
std::vector<ItemBacklog> OrderPlanner::sortedBacklogs() const
{
    std::vector<ItemBacklog> backlogs = m_input.demand.waitingItems(m_now);
    const auto weight = [this](const ItemBacklog &backlog) {
        const double seconds = std::max(toSeconds(m_input.catalog.loadTime(backlog.item.model)), MinLoadSeconds);
        return backlog.calls * (1 + toSeconds(backlog.age)) / seconds;
    };
    const auto models = std::partition(backlogs.begin(), backlogs.end(), [this](const ItemBacklog &backlog) {
        return !backlog.item.adapter.empty() && m_input.tracker.holds({backlog.item.model, {}});
    });
    const auto before = [&weight](const ItemBacklog &left, const ItemBacklog &right) {
        if (left.priority != right.priority) {
            return left.priority < right.priority;
        }
        const double leftWeight = weight(left);
        const double rightWeight = weight(right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : toString(left.item) < toString(right.item);
    };
    std::sort(backlogs.begin(), models, before);
    std::sort(models, backlogs.end(), before);
    return backlogs;
}

void OrderPlanner::addPresentItems()
{
    for (const ResidentModel &model : m_input.tracker.resident()) {
        if (!m_input.tracker.isUnloading({model.name, {}})) {
            m_memoryPlan.addModel(plannedModel(model));
        }
    }
    for (const TargetOrder &order : m_input.tracker.running()) {
        if (order.kind == OrderKind::Load && !m_input.tracker.holds({order.model, {}})) {
            m_memoryPlan.addModel({order.model, m_input.catalog.modelMb(order.model), false, 0, {}});
            m_loadingModels[order.model] = m_idleAt;
        }
    }
    for (const ItemName &item : m_input.tracker.loadingAdapters()) {
        if (!m_input.tracker.holds(item)) {
            m_memoryPlan.addAdapter(item.model, {item.adapter, m_input.catalog.adapterMb(item.model), false, 0});
        }
    }
}

PlannedModel OrderPlanner::plannedModel(const ResidentModel &model) const
{
    PlannedModel result{model.name, m_input.catalog.modelMb(model.name), true, retentionValue(model.name), {}};
    result.evictable = !m_input.demand.inFlight().contains(model.name) && !m_waitingItems.contains(model.name)
        && !m_input.unusedNewModels.contains(model.name) && !isLoadingAdapter(model.name);
    for (const std::string &adapter : model.adapters) {
        if (!m_input.tracker.isUnloading({model.name, adapter})) {
            result.adapters.push_back(plannedAdapter({model.name, adapter}));
        }
    }
    return result;
}

PlannedAdapter OrderPlanner::plannedAdapter(const ItemName &item) const
{
    const std::string name = toString(item);
    const bool evictable = !m_input.demand.inFlight().contains(name) && !m_waitingItems.contains(name);
    const double lastUsed = toSeconds(m_input.demand.lastUsed(name).time_since_epoch());
    return {item.adapter, m_input.catalog.adapterMb(item.model), evictable, lastUsed};
}

// Load time, weighted by the mean use of the model and how recent it is. The model with the lowest value is evicted
// first.
double OrderPlanner::retentionValue(const std::string &model) const
{
    const double idle = std::max(toSeconds(m_now - m_input.demand.lastUsed(model)), 0.0);
    return toSeconds(m_input.catalog.loadTime(model))
        * (m_input.demand.meanUse(model, m_now) + RecencyWeight / (1 + idle));
}

bool OrderPlanner::isLoadingAdapter(const std::string &model) const
{
    const auto &loadingAdapters = m_input.tracker.loadingAdapters();
    return std::any_of(loadingAdapters.begin(), loadingAdapters.end(), [&model](const ItemName &item) {
        return item.model == model;
    });
}

void OrderPlanner::planItem(const ItemName &item)
{
    const ItemName model{item.model, {}};
    const bool held = m_input.tracker.holds(model) && !m_input.tracker.isUnloading(model);
    const auto loading = m_loadingModels.find(item.model);
    if (!held && loading == m_loadingModels.end()) {
        planModelLoad(item);
        return;
    }
    if (!item.adapter.empty() && !m_input.tracker.holds(item)) {
        // A target accepts no order for an adapter while it carries out an order for a model.
        planAdapterLoad(item, held ? std::max(m_now, m_input.busyUntil) : loading->second, held);
    }
}

void OrderPlanner::planModelLoad(const ItemName &item)
{
    const EngineModel *model = m_input.catalog.model(item.model);
    const bool fromStore = !m_input.catalog.hasCopy(item.model);
    const bool allowed = !fromStore || m_input.share.permits(m_now, m_storeLoads);
    if (model == nullptr || !allowed || m_input.backoff.isRejected(item.model, m_now)) {
        m_plan.declined.push_back({toString(item),
                                   model == nullptr ? declinereasons::Unknown
                                       : !allowed   ? declinereasons::StoreRate
                                                    : declinereasons::Refused});
        return;
    }
    const bool withAdapter = !item.adapter.empty();
    const auto victims = m_memoryPlan.evictFor(model->memoryMb + (withAdapter ? model->adapterMb : 0),
                                               withAdapter ? 1 : 0);
    if (!victims) {
        m_plan.declined.push_back({toString(item), declinereasons::NoRoom});
        return;
    }
    m_memoryPlan.addModel({item.model, model->memoryMb, false, 0, {}});
    m_idleAt += static_cast<std::int64_t>(victims->size()) * UnloadTime + m_input.catalog.loadTime(item.model);
    m_loadingModels[item.model] = m_idleAt;
    if (withAdapter) {
        m_memoryPlan.addAdapter(item.model, {item.adapter, model->adapterMb, false, 0});
        m_plan.expected.push_back({toString(item), m_idleAt + AdapterTime});
    }
    m_storeLoads += fromStore ? 1 : 0;
    orderModel(*model, fromStore, *victims);
}

void OrderPlanner::orderModel(const EngineModel &model, bool fromStore, const std::vector<ItemName> &victims)
{
    if (m_input.backoff.isBlocked(model.name, m_now)) {
        return;
    }
    if (!victims.empty()) {
        orderUnload(victims);
    } else if (!m_input.tracker.isBusy() && fits({model.memoryMb, 0})) {
        setFirstOrder({OrderKind::Load, {model.name, {}}, fromStore});
    }
}

void OrderPlanner::planAdapterLoad(const ItemName &item, TimePoint modelDue, bool modelHeld)
{
    const std::string name = toString(item);
    const auto &loadingAdapters = m_input.tracker.loadingAdapters();
    if (std::find(loadingAdapters.begin(), loadingAdapters.end(), item) != loadingAdapters.end()) {
        m_plan.expected.push_back({name, m_now + AdapterTime});
        return;
    }
    const EngineModel *model = m_input.catalog.model(item.model);
    if (model == nullptr || model->adapters == 0 || m_input.backoff.isRejected(name, m_now)) {
        m_plan.declined.push_back(
            {name, model == nullptr || model->adapters == 0 ? declinereasons::Unknown : declinereasons::Refused});
        return;
    }
    const auto victims = m_memoryPlan.evictFor(model->adapterMb, 1);
    if (!victims) {
        m_plan.declined.push_back({name, declinereasons::NoRoom});
        return;
    }
    m_memoryPlan.addAdapter(item.model, {item.adapter, model->adapterMb, false, 0});
    m_plan.expected.push_back({name, modelDue + AdapterTime});
    if (!modelHeld || m_input.tracker.isBusy() || m_input.backoff.isBlocked(name, m_now)) {
        return;
    }
    if (!victims->empty()) {
        orderUnload(*victims);
    } else if (loadingAdapters.size() < MaxLoadingAdapters && fits({model->adapterMb, 1})) {
        setFirstOrder({OrderKind::Load, item, false});
    }
}

void OrderPlanner::orderUnload(const std::vector<ItemName> &victims)
{
    if (!m_input.tracker.isBusy()) {
        setFirstOrder({OrderKind::Unload, victims.front(), false});
    }
}

void OrderPlanner::setFirstOrder(PlannedOrder order)
{
    if (!m_plan.order) {
        m_plan.order = std::move(order);
    }
}

bool OrderPlanner::fits(const MemoryUse &use) const
{
    const MemoryUse sum = occupiedMemory(m_input.tracker, m_input.catalog) + m_input.reserved + use;
    return sum.memoryMb <= m_input.catalog.memoryMb()
        && (use.slots == 0 || sum.slots <= m_input.catalog.adapterSlots());
}

void OrderPlanner::addExpectedModels()
{
    for (const TargetOrder &order : m_input.tracker.running()) {
        if (order.kind == OrderKind::Load) {
            m_loadingModels.try_emplace(order.model, m_input.busyUntil);
        }
    }
    for (const auto &[name, due] : m_loadingModels) {
        m_plan.expected.push_back({name, due});
    }
    std::sort(m_plan.expected.begin(), m_plan.expected.end(), [](const ExpectedItem &left, const ExpectedItem &right) {
        return left.item < right.item;
    });
}

OrderPlan OrderPlanner::prefetch(const EngineSpec &spec)
{
    const EngineModel *best = nullptr;
    double bestUse = MinPrefetchUse;
    for (const EngineModel &model : spec.models) {
        const double use = m_input.demand.meanUse(model.name, m_now);
        const bool possible = use > bestUse && m_input.catalog.hasCopy(model.name)
            && !m_input.tracker.holds({model.name, {}}) && !m_input.backoff.isBlocked(model.name, m_now)
            && fits({model.memoryMb, 0});
        if (possible) {
            best = &model;
            bestUse = use;
        }
    }
    if (best != nullptr && !m_input.tracker.isBusy()) {
        setFirstOrder({OrderKind::Load, {best->name, {}}, false});
    }
    return std::move(m_plan);
}

} // namespace celeryroute
