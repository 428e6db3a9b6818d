#include <celeryroute/detail/keeper/modelcontroller.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/keeper/orderplanner.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t MaxClockDifferenceMs =
    10'000; ///< Largest difference between the clocks of a host and its target.
constexpr std::int64_t MinRestartMs = 300; ///< Least time from the end of a process to the start of the next.
constexpr Duration MaxReportAge = 2s; ///< Largest age of a report on which an order may be based.
constexpr Duration NewModelRetention = 1s; ///< A model that was loaded and not yet used is kept for this time.
constexpr Duration UnloadTime = 20ms; ///< Expected time of an unload.
constexpr Duration ForeignOrderTime = 500ms; ///< Expected time of an order of another agent.
constexpr Duration MinRemaining = 10ms; ///< Least remaining time that is reported for an overdue order.
constexpr int OverdueDivisor = 4; ///< An overdue order is expected to take 1/4 of its elapsed time more.
constexpr Duration MinReadInterval = 5ms;
constexpr Duration OrderReadInterval = 50ms;
constexpr Duration AdapterReadInterval = 10ms;
constexpr Duration ActiveReadInterval = 150ms;
constexpr Duration IdleReadInterval = 1s;
constexpr Duration UnreachableReadInterval = 250ms;
constexpr Duration MinDueChange = 200ms; ///< A change of a due time by this much is published at once.

bool holds(const std::vector<ResidentModel> &models, const std::string &name)
{
    return std::any_of(models.begin(), models.end(), [&name](const ResidentModel &model) {
        return model.name == name;
    });
}

bool isNearlyEqual(const ExpectedItem &left, const ExpectedItem &right)
{
    return left.item == right.item && left.due - right.due < MinDueChange && right.due - left.due < MinDueChange;
}

} // namespace

ModelController::ModelController(ModelControllerSettings settings)
    : m_settings(std::move(settings))
    , m_storeLoadShare(stableHash(m_settings.holder))
{
    if (!m_settings.firstStart) {
        m_storeLoadShare.noteUnobservedUntil(m_settings.started);
        m_tracker.setForeignOrdersUntil(m_settings.started + OrderTracker::OrderLifetime);
    }
}

void ModelController::setSpec(const EngineSpec &spec)
{
    m_spec = spec;
    m_catalog.setSpec(spec);
    m_storeLoadShare.setLimits(spec.loadsPerSecond, m_settings.bounds);
}

void ModelController::setBounds(const ServingBounds &bounds)
{
    m_settings.bounds = bounds;
    if (m_spec) {
        m_storeLoadShare.setLimits(m_spec->loadsPerSecond, bounds);
    }
}

void ModelController::setFence(std::uint64_t fence)
{
    if (!m_fence || fence > *m_fence) {
        m_fence = fence;
        m_fenced = false;
    }
}

void ModelController::setInstance(const std::string &instance, bool successor)
{
    m_successor = successor;
    if (instance != m_instance) {
        m_instance = instance;
        m_backoff.clear();
    }
}

void ModelController::noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now)
{
    const bool first = !m_tracker.hasReport();
    const std::vector<ResidentModel> before = m_tracker.resident();
    const ReportEffect effect = m_tracker.noteReport(report, readBegan, now);
    for (std::uint32_t i = 0; i < effect.storeLoadsStarted; ++i) {
        m_storeLoadShare.noteLoadStarted(now);
    }
    const bool newWithAgent = first && !m_settings.firstStart && m_settings.startedMs != 0 && report.bornMs != 0
        && report.bornMs >= m_settings.startedMs - MaxClockDifferenceMs;
    if (effect.newLifetime || newWithAgent) {
        m_storeLoadShare.noteJoined(now);
    }
    updateLoadTimes(before, first || effect.newLifetime, now);
    const bool sameLifetime = !effect.newLifetime && report.bornMs != 0;
    m_leaving = report.leaving || (m_leaving && sameLifetime);
    if (m_report.copies != report.copies) {
        m_catalog.setCopies(report.copies);
    }
    m_report = report;
    m_reachable = true;
    m_lastRead = std::max(m_lastRead, readBegan);
}

void ModelController::updateLoadTimes(const std::vector<ResidentModel> &before, bool newLifetime, TimePoint now)
{
    for (const ResidentModel &model : m_tracker.resident()) {
        if (!newLifetime && !holds(before, model.name)) {
            m_loadedAt[model.name] = now;
        }
    }
    std::erase_if(m_loadedAt, [this](const auto &loaded) { return !holds(m_tracker.resident(), loaded.first); });
}

void ModelController::noteUnreachable(TimePoint now)
{
    m_reachable = false;
    m_unreachableAt = now;
}

void ModelController::noteUsage(const std::string &entry, const EntryDemand &demand, TimePoint now)
{
    m_demand.noteDemand(entry, demand, now);
    m_storeLoadShare.noteTargets(demand.poolTargets, now);
}

void ModelController::noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now)
{
    m_tracker.noteOutcome(order, outcome, now);
    switch (outcome) {
    case OrderAnswer::Accepted:
        if (m_sentFromStore) {
            m_storeLoadShare.noteLoadStarted(now);
        }
        m_backoff.clear(toString(itemOf(order)));
        break;
    case OrderAnswer::Fenced:
        m_fenced = m_fence && *m_fence == order.fence;
        break;
    case OrderAnswer::Conflict:
    case OrderAnswer::Rejected:
        m_backoff.noteFailure(order, outcome, now);
        break;
    case OrderAnswer::InDoubt:
        m_inDoubtSince = now;
        break;
    case OrderAnswer::AlreadyHolds:
        break;
    }
    m_sentFromStore = false;
}

bool ModelController::canOrder() const
{
    return m_reachable && !m_leaving && m_spec && m_fence && !m_fenced && !m_instance.empty();
}

bool ModelController::isReadyForOrder(TimePoint now) const
{
    return m_tracker.isSettled() && !m_tracker.isForeignOrderRunning() && now - m_lastRead <= MaxReportAge;
}

std::optional<TargetOrder> ModelController::nextOrder(TimePoint now)
{
    m_demand.expire(now);
    m_plan = canOrder() && m_tracker.hasReport() ? plan(now) : OrderPlan();
    std::optional<TargetOrder> result;
    if (m_plan.order && isReadyForOrder(now)) {
        result = makeOrder(*m_plan.order);
        m_sentFromStore = m_plan.order->fromStore;
        m_tracker.noteSent(*result, m_sentFromStore);
    }
    if (!isPublished(m_plan)) {
        publish();
    }
    return result;
}

OrderPlan ModelController::plan(TimePoint now) const
{
    const TimePoint busyUntil = m_tracker.isBusy() ? runningOrderDue(now) : now;
    OrderPlanner planner({m_tracker,
                          m_demand,
                          m_catalog,
                          m_storeLoadShare,
                          m_backoff,
                          unusedNewModels(now),
                          reservedMemory(),
                          m_tracker.possibleLaterStoreLoads(m_instance),
                          busyUntil},
                         now);
    if (m_settings.prefetch && m_demand.waitingItems(now).empty() && !m_tracker.isBusy()) {
        return planner.prefetch(*m_spec);
    }
    return planner.plan();
}

TargetOrder ModelController::makeOrder(const PlannedOrder &planned) const
{
    const ItemName &item = planned.item;
    return {planned.kind, item.model, item.adapter, m_tracker.sequence(), m_settings.holder, *m_fence, m_instance};
}

std::unordered_set<std::string> ModelController::unusedNewModels(TimePoint now) const
{
    std::unordered_set<std::string> result;
    for (const auto &[name, loaded] : m_loadedAt) {
        if (now - loaded < NewModelRetention && m_demand.lastUsed(name) < loaded) {
            result.insert(name);
        }
    }
    return result;
}

// An order of an earlier agent to this lifetime of the target has the same sequence as the next order, so only one of
// them takes effect. An order to an earlier lifetime of the same name may take effect after the next order. There is
// no such order if this lifetime is old enough.
bool ModelController::mayHavePredecessorOrder() const
{
    if (m_settings.firstStart || m_tracker.lastRead() >= m_settings.started + OrderTracker::OrderLifetime) {
        return false;
    }
    // An earlier agent had ended before this one started, so it sent no orders to an instance that started later.
    if (m_successor && m_tracker.bornMs() + MinRestartMs >= m_settings.startedMs && m_settings.startedMs != 0) {
        return false;
    }
    const std::int64_t oldestMs = m_settings.startedMs - toMilliseconds(OrderTracker::OrderLifetime)
        - MaxClockDifferenceMs;
    return m_tracker.bornMs() == 0 || m_settings.startedMs == 0 || m_tracker.bornMs() >= oldestMs;
}

MemoryUse ModelController::reservedMemory() const
{
    const MemoryUse own = laterLoadMemory(m_tracker, m_catalog, m_instance);
    return mayHavePredecessorOrder() ? own + MemoryUse{m_catalog.largestMb(), 1} : own;
}

TimePoint ModelController::runningOrderDue(TimePoint now) const
{
    Duration longest = m_tracker.isForeignOrderRunning() ? ForeignOrderTime : Duration{};
    for (const TargetOrder &order : m_tracker.running()) {
        longest = std::max(longest, order.kind == OrderKind::Load ? m_catalog.loadTime(order.model) : UnloadTime);
    }
    const TimePoint due = m_tracker.runningSince() + longest;
    if (due > now) {
        return due;
    }
    // An overdue order is expected to take a fixed fraction of its elapsed time longer.
    return now + std::max(MinRemaining, (now - m_tracker.runningSince()) / OverdueDivisor);
}

TimePoint ModelController::nextReportAt(TimePoint now) const
{
    if (!m_reachable) {
        return std::max(now, m_unreachableAt + UnreachableReadInterval);
    }
    return std::max(now, m_lastRead + reportInterval(now));
}

Duration ModelController::reportInterval(TimePoint now) const
{
    if (m_tracker.isOrderInTransit() || m_tracker.isForeignOrderRunning()) {
        return OrderReadInterval;
    }
    if (!m_tracker.isSettled()) {
        return MinReadInterval;
    }
    if (m_tracker.isBusy()) {
        return std::clamp((runningOrderDue(now) - now) / 4, MinReadInterval, OrderReadInterval);
    }
    if (!m_tracker.loadingAdapters().empty()) {
        return AdapterReadInterval;
    }
    if (m_tracker.isOrderInDoubt() && now - m_inDoubtSince < IdleReadInterval) {
        return OrderReadInterval;
    }
    const bool active = m_report.active > 0 || m_report.queued > 0 || m_demand.hasCalls(now);
    return active ? ActiveReadInterval : IdleReadInterval;
}

bool ModelController::isPublished(const OrderPlan &plan) const
{
    return m_published.instance == m_instance && m_published.bornMs == m_tracker.bornMs()
        && m_published.reachable == m_reachable && m_published.ordering == canOrder()
        && m_published.leaving == m_leaving && m_published.resident == m_tracker.resident()
        && m_published.running == m_tracker.running() && m_published.copies == m_report.copies
        && m_published.declined == plan.declined
        && std::equal(m_published.expected.begin(),
                      m_published.expected.end(),
                      plan.expected.begin(),
                      plan.expected.end(),
                      isNearlyEqual);
}

void ModelController::publish()
{
    m_published = {m_instance,
                   m_tracker.bornMs(),
                   m_reachable,
                   canOrder(),
                   m_leaving,
                   m_tracker.resident(),
                   m_tracker.running(),
                   m_report.copies,
                   m_plan.expected,
                   m_plan.declined};
    ++m_stateVersion;
}

TargetStatus ModelController::status(TimePoint now) const
{
    TargetStatus result;
    result.instance = m_instance;
    result.bornMs = m_tracker.bornMs();
    result.reachable = m_reachable;
    result.leaving = m_leaving;
    result.ordering = canOrder();
    for (const ResidentModel &model : m_tracker.resident()) {
        if (!m_tracker.isUnloading({model.name, {}})) {
            result.models.push_back(model);
        }
    }
    for (const ExpectedItem &expected : m_plan.expected) {
        result.loading.push_back({expected.item, std::max(expected.due - now, MinRemaining)});
    }
    result.copies = m_report.copies;
    for (const DeclinedItem &declined : m_plan.declined) {
        result.declined.push_back(declined.item);
    }
    result.storeWait = m_storeLoadShare.timeUntilTurn(now);
    result.queued = m_report.queued;
    result.active = m_report.active;
    result.cacheUsed = m_report.cacheUsed;
    result.cacheTotal = m_report.cacheTotal;
    return result;
}

} // namespace celeryroute
