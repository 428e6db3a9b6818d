#include <celeryroute/detail/keeper/modelkeeper.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/keeper/orderplanner.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t ClockDoubtMs = 10'000; ///< Largest difference between the clocks of a host and its target.
constexpr std::int64_t LeastRestartMs = 300; ///< Least time from the end of a process to the start of the next.
constexpr Duration FreshReport = 2s; ///< Largest age of a report on which an order may be based.
constexpr Duration FreshLoad = 1s; ///< A model that was loaded and not yet used is kept for this time.
constexpr Duration ShortOrder = 20ms; ///< Expected time of an unload.
constexpr Duration ForeignOrder = 500ms; ///< Expected time of an order of another agent.
constexpr Duration Soon = 10ms; ///< Least remaining time that is reported for an overdue order.
constexpr int OverduePart = 4; ///< An overdue order is expected to take 1/4 of its elapsed time more.
constexpr Duration FastestRead = 5ms;
constexpr Duration SlowestOrderRead = 50ms;
constexpr Duration AdapterRead = 10ms;
constexpr Duration ActiveRead = 150ms;
constexpr Duration IdleRead = 1s;
constexpr Duration UnreachableRead = 250ms;
constexpr Duration DueChange = 200ms; ///< A change of a due time by this much is published at once.

bool holds(const std::vector<ResidentModel> &models, const std::string &name)
{
    return std::any_of(models.begin(), models.end(), [&name](const ResidentModel &model) {
        return model.name == name;
    });
}

bool nearlySame(const ExpectedItem &left, const ExpectedItem &right)
{
    return left.item == right.item && left.due - right.due < DueChange && right.due - left.due < DueChange;
}

} // namespace

ModelKeeper::ModelKeeper(KeeperSettings settings)
    : m_settings(std::move(settings))
    , m_share(stableHash(m_settings.holder))
{
    if (!m_settings.firstStart) {
        m_share.noteUnknownPast(m_settings.started);
        m_ledger.useForeignUntil(m_settings.started + OrderLedger::OrderLife);
    }
}

void ModelKeeper::useSpec(const EngineSpec &spec)
{
    m_spec = spec;
    m_catalog.useSpec(spec);
    m_share.useLimits(spec.loadsPerSecond, m_settings.bounds);
}

void ModelKeeper::useBounds(const ServingBounds &bounds)
{
    m_settings.bounds = bounds;
    if (m_spec) {
        m_share.useLimits(m_spec->loadsPerSecond, bounds);
    }
}

void ModelKeeper::useFence(std::uint64_t fence)
{
    if (!m_fence || fence > *m_fence) {
        m_fence = fence;
        m_fenced = false;
    }
}

void ModelKeeper::useInstance(const std::string &instance, bool successor)
{
    m_successor = successor;
    if (instance != m_instance) {
        m_instance = instance;
        m_blocks.clear();
    }
}

void ModelKeeper::noteReport(const TargetReport &report, TimePoint readBegan, TimePoint now)
{
    const bool first = !m_ledger.known();
    const std::vector<ResidentModel> before = m_ledger.resident();
    const ReportEffect effect = m_ledger.noteReport(report, readBegan, now);
    for (std::uint32_t i = 0; i < effect.storeLoadsBegan; ++i) {
        m_share.noteBegan(now);
    }
    const bool newWithAgent = first && !m_settings.firstStart && m_settings.startedMs != 0 && report.bornMs != 0
        && report.bornMs >= m_settings.startedMs - ClockDoubtMs;
    if (effect.newLifetime || newWithAgent) {
        m_share.noteJoined(now);
    }
    noteResidents(before, first || effect.newLifetime, now);
    if (m_report.copies != report.copies) {
        m_catalog.useCopies(report.copies);
    }
    m_report = report;
    m_reachable = true;
    m_lastRead = std::max(m_lastRead, readBegan);
}

void ModelKeeper::noteResidents(const std::vector<ResidentModel> &before, bool newLifetime, TimePoint now)
{
    for (const ResidentModel &model : m_ledger.resident()) {
        if (!newLifetime && !holds(before, model.name)) {
            m_loadedAt[model.name] = now;
        }
    }
    std::erase_if(m_loadedAt, [this](const auto &loaded) { return !holds(m_ledger.resident(), loaded.first); });
}

void ModelKeeper::noteUnreachable(TimePoint now)
{
    m_reachable = false;
    m_unreachableAt = now;
}

void ModelKeeper::noteUsage(const std::string &entry, const EntryDemand &demand, TimePoint now)
{
    m_demand.note(entry, demand, now);
    m_share.useTargets(demand.poolTargets, now);
}

void ModelKeeper::noteOutcome(const TargetOrder &order, OrderAnswer outcome, TimePoint now)
{
    m_ledger.noteOutcome(order, outcome, now);
    switch (outcome) {
    case OrderAnswer::Accepted:
        if (m_sentFromStore) {
            m_share.noteBegan(now);
        }
        m_blocks.clear(toString(itemOf(order)));
        break;
    case OrderAnswer::Fenced:
        m_fenced = m_fence && *m_fence == order.fence;
        break;
    case OrderAnswer::Conflict:
    case OrderAnswer::Rejected:
        m_blocks.note(order, outcome, now);
        break;
    case OrderAnswer::InDoubt:
        m_doubtSince = now;
        break;
    case OrderAnswer::AlreadyHolds:
        break;
    }
    m_sentFromStore = false;
}

bool ModelKeeper::ordering() const
{
    return m_reachable && m_spec && m_fence && !m_fenced && !m_instance.empty();
}

bool ModelKeeper::mayOrder(TimePoint now) const
{
    return m_ledger.settled() && !m_ledger.foreignRunning() && now - m_lastRead <= FreshReport;
}

std::optional<TargetOrder> ModelKeeper::nextOrder(TimePoint now)
{
    m_demand.expire(now);
    m_plan = ordering() && m_ledger.known() ? plan(now) : OrderPlan();
    std::optional<TargetOrder> result;
    if (m_plan.order && mayOrder(now)) {
        result = stamped(*m_plan.order);
        m_sentFromStore = m_plan.order->fromStore;
        m_ledger.noteSent(*result, m_sentFromStore);
    }
    if (!toldAll(m_plan)) {
        tell();
    }
    return result;
}

OrderPlan ModelKeeper::plan(TimePoint now) const
{
    const TimePoint busyUntil = m_ledger.busy() ? runningDue(now) : now;
    OrderPlanner planner({m_ledger,
                          m_demand,
                          m_catalog,
                          m_share,
                          m_blocks,
                          unusedYet(now),
                          reserved(),
                          m_ledger.laterStoreLoads(m_instance),
                          busyUntil},
                         now);
    if (m_settings.prefetch && m_demand.wants(now).empty() && !m_ledger.busy()) {
        return planner.prefetch(*m_spec);
    }
    return planner.plan();
}

TargetOrder ModelKeeper::stamped(const PlannedOrder &planned) const
{
    const ItemName &item = planned.item;
    return {planned.kind, item.model, item.adapter, m_ledger.sequence(), m_settings.holder, *m_fence, m_instance};
}

std::unordered_set<std::string> ModelKeeper::unusedYet(TimePoint now) const
{
    std::unordered_set<std::string> result;
    for (const auto &[name, loaded] : m_loadedAt) {
        if (now - loaded < FreshLoad && m_demand.lastUsed(name) < loaded) {
            result.insert(name);
        }
    }
    return result;
}

// An order of an earlier agent to this lifetime of the target has the same sequence as the next order, so only one of
// them takes effect. An order to an earlier lifetime of the same name may take effect after the next order. There is
// no such order if this lifetime is old enough.
bool ModelKeeper::predecessorPossible() const
{
    if (m_settings.firstStart || m_ledger.lastRead() >= m_settings.started + OrderLedger::OrderLife) {
        return false;
    }
    // An earlier agent had ended before this one started, so it sent no orders to an instance that started later.
    if (m_successor && m_ledger.bornMs() + LeastRestartMs >= m_settings.startedMs && m_settings.startedMs != 0) {
        return false;
    }
    const std::int64_t oldestMs = m_settings.startedMs - toMilliseconds(OrderLedger::OrderLife) - ClockDoubtMs;
    return m_ledger.bornMs() == 0 || m_settings.startedMs == 0 || m_ledger.bornMs() >= oldestMs;
}

MemoryUse ModelKeeper::reserved() const
{
    const MemoryUse own = reservedFor(m_ledger, m_catalog, m_instance);
    return predecessorPossible() ? own + MemoryUse{m_catalog.largestMb(), 1} : own;
}

TimePoint ModelKeeper::runningDue(TimePoint now) const
{
    Duration longest = m_ledger.foreignRunning() ? ForeignOrder : Duration{};
    for (const TargetOrder &order : m_ledger.running()) {
        longest = std::max(longest, order.kind == OrderKind::Load ? m_catalog.loadTime(order.model) : ShortOrder);
    }
    const TimePoint due = m_ledger.runningSince() + longest;
    if (due > now) {
        return due;
    }
    // An overdue order is expected to take a fixed fraction of its elapsed time longer.
    return now + std::max(Soon, (now - m_ledger.runningSince()) / OverduePart);
}

TimePoint ModelKeeper::nextReportAt(TimePoint now) const
{
    if (!m_reachable) {
        return std::max(now, m_unreachableAt + UnreachableRead);
    }
    return std::max(now, m_lastRead + reportInterval(now));
}

Duration ModelKeeper::reportInterval(TimePoint now) const
{
    if (m_ledger.inTransit() || m_ledger.foreignRunning()) {
        return SlowestOrderRead;
    }
    if (!m_ledger.settled()) {
        return FastestRead;
    }
    if (m_ledger.busy()) {
        return std::clamp((runningDue(now) - now) / 4, FastestRead, SlowestOrderRead);
    }
    if (!m_ledger.arriving().empty()) {
        return AdapterRead;
    }
    if (m_ledger.inDoubt() && now - m_doubtSince < IdleRead) {
        return SlowestOrderRead;
    }
    const bool active = m_report.active > 0 || m_report.queued > 0 || m_demand.active(now);
    return active ? ActiveRead : IdleRead;
}

bool ModelKeeper::toldAll(const OrderPlan &plan) const
{
    return m_told.instance == m_instance && m_told.bornMs == m_ledger.bornMs() && m_told.reachable == m_reachable
        && m_told.ordering == ordering() && m_told.resident == m_ledger.resident()
        && m_told.running == m_ledger.running() && m_told.copies == m_report.copies && m_told.declined == plan.declined
        && std::equal(m_told.expected.begin(),
                      m_told.expected.end(),
                      plan.expected.begin(),
                      plan.expected.end(),
                      nearlySame);
}

void ModelKeeper::tell()
{
    m_told = {m_instance,
              m_ledger.bornMs(),
              m_reachable,
              ordering(),
              m_ledger.resident(),
              m_ledger.running(),
              m_report.copies,
              m_plan.expected,
              m_plan.declined};
    ++m_stateVersion;
}

KeeperView ModelKeeper::view(TimePoint now) const
{
    KeeperView view;
    view.instance = m_instance;
    view.bornMs = m_ledger.bornMs();
    view.reachable = m_reachable;
    view.ordering = ordering();
    for (const ResidentModel &model : m_ledger.resident()) {
        if (!m_ledger.unloading({model.name, {}})) {
            view.models.push_back(model);
        }
    }
    for (const ExpectedItem &expected : m_plan.expected) {
        view.loading.push_back({expected.item, std::max(expected.due - now, Soon)});
    }
    view.copies = m_report.copies;
    for (const DeclinedItem &declined : m_plan.declined) {
        view.declined.push_back(declined.item);
    }
    view.storeWait = m_share.untilTurn(now);
    view.queued = m_report.queued;
    view.active = m_report.active;
    view.cacheUsed = m_report.cacheUsed;
    view.cacheTotal = m_report.cacheTotal;
    return view;
}

} // namespace celeryroute
