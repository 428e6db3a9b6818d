#include <celeryroute/detail/keeper/modelkeeper.h>

#include <celeryroute/detail/base/digest.h>

#include <algorithm>
#include <map>
#include <unordered_set>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration OrderLife = 15s; ///< In which an order without an answer may be carried out.
constexpr std::int64_t ClockDoubtMs = 10'000; ///< Between the clocks of a host and of its target.
constexpr std::int64_t LeastRestartMs = 300; ///< From the end of a process to the start of the next.
constexpr Duration FreshReport = 2s; ///< Age of a report on which an order may rest.
constexpr Duration FreshLoad = 1s; ///< A model that was loaded and not used is kept this long.
constexpr Duration UnloadTime = 20ms;
constexpr Duration AdapterTime = 10ms;
constexpr Duration ForeignTime = 500ms; ///< Of an order that this agent does not know.
constexpr Duration Soon = 10ms; ///< Remaining time of what is overdue.
constexpr std::size_t AdaptersInTransit = 4; ///< At most, to one target.
constexpr Duration FastestRead = 5ms;
constexpr Duration SlowestOrderRead = 50ms;
constexpr Duration ActiveRead = 150ms;
constexpr Duration IdleRead = 1s;
constexpr Duration UnreachableRead = 250ms;
constexpr Duration FirstBlock = 10ms; ///< Of an item whose order met a conflict.
constexpr Duration LongestBlock = 150ms;
constexpr Duration FirstRefusedBlock = 250ms; ///< Of an item whose order was refused for good.
constexpr Duration LongestRefusedBlock = 4s;
constexpr Duration BlockMemory = 1s; ///< In which a further conflict doubles the time.
constexpr Duration DueChange = 200ms; ///< Of which entries hear at once.
constexpr double PrefetchUse = 0.05; ///< Mean calls in flight.

std::uint64_t seedOf(const KeeperSettings &settings)
{
    return stableHash(settings.holder);
}

} // namespace

/// One pass over the wants.
struct ModelKeeper::Planning {
    explicit Planning(TimePoint presentTime)
        : now(presentTime)
        , free(presentTime)
    {}

    TimePoint now;
    RoomPlan room{0, 0};
    bool mayOrder = false;
    std::unordered_map<std::string, std::uint32_t> inFlight;
    std::unordered_set<std::string> wanted; ///< Items, and models of adapters.
    std::unordered_map<std::string, TimePoint> coming; ///< Models that are or will be loading.
    TimePoint free; ///< When the order in progress and those planned are done.
    std::uint32_t storeLoads = 0; ///< That may yet begin.
    std::optional<TargetOrder> order;
    bool storeLoad = false; ///< The order is a load from the weight store.
    std::vector<Expected> expected;
    std::vector<std::string> declined;
};

ModelKeeper::ModelKeeper(KeeperSettings settings)
    : m_settings(std::move(settings))
    , m_share(seedOf(m_settings))
{
    if (!m_settings.firstStart) {
        m_share.noteUnknownPast(m_settings.started);
        m_ledger.useForeignUntil(m_settings.started + OrderLife);
    }
}

void ModelKeeper::useSpec(const EngineSpec &spec)
{
    m_spec = spec;
    m_largestMb = 0;
    for (const EngineModel &model : spec.models) {
        m_models[model.name] = model;
        m_largestMb = std::max(m_largestMb, model.memoryMb);
    }
    m_share.useLimits(spec.loadsPerSecond, m_settings.bounds);
}

void ModelKeeper::useFence(std::uint64_t fence)
{
    if (m_fence && fence <= *m_fence) {
        return;
    }
    m_fence = fence;
    m_fenced = false;
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
    m_reachable = true;
    m_lastRead = std::max(m_lastRead, readBegan);
    const std::vector<ResidentModel> before = m_ledger.resident();
    const bool first = !m_ledger.known();
    const ReportEffect effect = m_ledger.noteReport(report, readBegan, now);
    for (std::uint32_t i = 0; i < effect.storeLoadsBegan; ++i) {
        m_share.noteBegan(now);
    }
    m_report = report;
    noteResidents(before, first || effect.newLifetime, now);
}

void ModelKeeper::noteResidents(const std::vector<ResidentModel> &before, bool newLifetime, TimePoint now)
{
    const auto held = [](const std::vector<ResidentModel> &models, const std::string &name) {
        return std::any_of(models.begin(), models.end(), [&name](const ResidentModel &model) {
            return model.name == name;
        });
    };
    for (const ResidentModel &model : m_ledger.resident()) {
        if (!newLifetime && !held(before, model.name)) {
            m_loadedAt[model.name] = now;
        }
    }
    std::erase_if(m_loadedAt, [&](const auto &loaded) { return !held(m_ledger.resident(), loaded.first); });
}

void ModelKeeper::noteUnreachable(TimePoint now)
{
    m_reachable = false;
    m_unreachableAt = now;
}

void ModelKeeper::noteUsage(const std::string &entry, const EntryDemand &demand, TimePoint now)
{
    m_demand.note(entry, demand, now);
    m_share.useTargets(m_demand.poolTargets());
}

void ModelKeeper::noteOutcome(const TargetOrder &order, OrderOutcome outcome, TimePoint now)
{
    m_ledger.noteOutcome(order, outcome, now);
    switch (outcome) {
    case OrderOutcome::Accepted:
        if (m_sentStoreLoad) {
            m_share.noteBegan(now);
        }
        m_blocks.erase(toString(itemOf(order)));
        break;
    case OrderOutcome::Fenced:
        m_fenced = m_fence && *m_fence == order.fence;
        break;
    case OrderOutcome::Conflict:
    case OrderOutcome::Rejected:
        block(order, outcome, now);
        break;
    case OrderOutcome::InDoubt:
        m_doubtSince = now;
        break;
    case OrderOutcome::AlreadyHolds:
        break;
    }
    m_sentStoreLoad = false;
}

void ModelKeeper::block(const TargetOrder &order, OrderOutcome outcome, TimePoint now)
{
    Block &block = m_blocks[toString(itemOf(order))];
    const bool refused = outcome == OrderOutcome::Rejected;
    const bool again = refused == block.refused && now - block.until < BlockMemory;
    const Duration first = refused ? FirstRefusedBlock : FirstBlock;
    block.delay = again ? std::min(2 * block.delay, refused ? LongestRefusedBlock : LongestBlock) : first;
    block.refused = refused;
    block.until = now + block.delay;
}

bool ModelKeeper::ordering() const
{
    return m_reachable && m_spec && m_fence && !m_fenced && !m_instance.empty();
}

bool ModelKeeper::mayOrder(TimePoint now) const
{
    return ordering() && m_ledger.settled() && !m_ledger.foreignRunning() && now - m_lastRead <= FreshReport;
}

std::optional<TargetOrder> ModelKeeper::nextOrder(TimePoint now)
{
    m_ledger.expire(now);
    m_demand.prune(now);
    Planning planning(now);
    plan(planning);
    if (planning.order) {
        m_ledger.noteSent(*planning.order, planning.storeLoad);
        m_sentStoreLoad = planning.storeLoad;
    }
    publish(planning);
    return planning.order;
}

void ModelKeeper::plan(Planning &planning)
{
    if (!ordering() || !m_ledger.known()) {
        return;
    }
    const std::vector<ItemDemand> wants = sortedWants(planning.now);
    for (const ItemDemand &want : wants) {
        planning.wanted.insert(toString(want.item));
        planning.wanted.insert(want.item.model);
    }
    planning.mayOrder = mayOrder(planning.now);
    planning.inFlight = m_demand.inFlight(planning.now);
    planning.storeLoads = m_ledger.laterStoreLoads(m_instance);
    planning.free = m_ledger.busy() ? runningDue(planning.now) : planning.now;
    fillRoom(planning);
    for (const ItemDemand &want : wants) {
        planWant(planning, want);
    }
    if (m_settings.prefetch && wants.empty()) {
        planPrefetch(planning);
    }
}

// Urgent wants first; among equals those that serve the most waiting for the time that they take.
std::vector<ItemDemand> ModelKeeper::sortedWants(TimePoint now) const
{
    std::vector<ItemDemand> wants = m_demand.wants(now);
    const auto weight = [this](const ItemDemand &want) {
        return want.calls * (1 + toSeconds(want.age)) / std::max(toSeconds(loadTime(want.item.model)), 0.001);
    };
    std::sort(wants.begin(), wants.end(), [&weight](const ItemDemand &left, const ItemDemand &right) {
        if (left.priority != right.priority) {
            return left.priority < right.priority;
        }
        const double leftWeight = weight(left);
        const double rightWeight = weight(right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : toString(left.item) < toString(right.item);
    });
    return wants;
}

void ModelKeeper::fillRoom(Planning &planning) const
{
    double reservedMb = 0;
    std::uint32_t reservedSlots = 0;
    reserve(reservedMb, reservedSlots, planning.now);
    const std::uint32_t slots = m_spec->adapterSlots - std::min(m_spec->adapterSlots, reservedSlots);
    planning.room = RoomPlan(m_spec->memoryMb - reservedMb, slots);
    for (const ResidentModel &model : m_ledger.resident()) {
        if (!m_ledger.unloading({model.name, {}})) {
            planning.room.add(roomModel(planning, model));
        }
    }
    for (const TargetOrder &order : m_ledger.running()) {
        if (order.kind == OrderKind::Load && !m_ledger.holds({order.model, {}})) {
            planning.room.add({order.model, modelMb(order.model), false, 0, {}});
            planning.coming[order.model] = planning.free;
        }
    }
    for (const ItemName &item : m_ledger.arriving()) {
        if (!m_ledger.holds(item)) {
            planning.room.addAdapter(item.model, {item.adapter, adapterMb(item.model), false, 0});
        }
    }
}

RoomModel ModelKeeper::roomModel(const Planning &planning, const ResidentModel &model) const
{
    RoomModel result{model.name, modelMb(model.name), true, worthOf(model.name, planning.now), {}};
    const bool awaitsAdapter = std::any_of(m_ledger.arriving().begin(),
                                           m_ledger.arriving().end(),
                                           [&model](const ItemName &item) { return item.model == model.name; });
    result.evictable = !planning.inFlight.contains(model.name) && !planning.wanted.contains(model.name)
        && !awaitsAdapter && !freshlyLoaded(model.name, planning.now);
    for (const std::string &adapter : model.adapters) {
        if (!m_ledger.unloading({model.name, adapter})) {
            result.adapters.push_back(roomAdapter(planning, {model.name, adapter}));
        }
    }
    return result;
}

RoomAdapter ModelKeeper::roomAdapter(const Planning &planning, const ItemName &item) const
{
    const std::string name = toString(item);
    const bool evictable = !planning.inFlight.contains(name) && !planning.wanted.contains(name);
    return {item.adapter, adapterMb(item.model), evictable, toSeconds(m_demand.lastUsed(name).time_since_epoch())};
}

void ModelKeeper::planWant(Planning &planning, const ItemDemand &want)
{
    const bool held = m_ledger.holds({want.item.model, {}}) && !m_ledger.unloading({want.item.model, {}});
    if (!held && !planning.coming.contains(want.item.model)) {
        planModel(planning, want.item);
        return;
    }
    if (!held) {
        const TimePoint due = planning.coming.at(want.item.model);
        if (want.item.adapter.empty()) {
            planning.expected.push_back({want.item.model, due});
            return;
        }
    }
    if (!want.item.adapter.empty() && !m_ledger.holds(want.item)) {
        planAdapter(planning, want.item);
    }
}

void ModelKeeper::planModel(Planning &planning, const ItemName &item)
{
    const EngineModel *wanted = model(item.model);
    const auto blocked = m_blocks.find(item.model);
    const bool held = blocked != m_blocks.end() && planning.now < blocked->second.until;
    const bool fromStore = !hasCopy(item.model);
    if (wanted == nullptr || (held && blocked->second.refused)
        || (fromStore && !m_share.permits(planning.now, planning.storeLoads))) {
        planning.declined.push_back(toString(item));
        return;
    }
    const bool withAdapter = !item.adapter.empty();
    const double needed = wanted->memoryMb + (withAdapter ? wanted->adapterMb : 0);
    const auto victims = planning.room.makeRoom(needed, withAdapter ? 1 : 0);
    if (!victims) {
        planning.declined.push_back(toString(item));
        return;
    }
    RoomModel room{item.model, wanted->memoryMb, false, 0, {}};
    if (withAdapter) {
        room.adapters.push_back({item.adapter, wanted->adapterMb, false, 0});
    }
    planning.room.add(std::move(room));
    planning.storeLoads += fromStore ? 1 : 0;
    planning.free += static_cast<std::int64_t>(victims->size()) * UnloadTime + loadTime(item.model);
    planning.coming[item.model] = planning.free;
    planning.expected.push_back({toString(item), planning.free + (withAdapter ? AdapterTime : Duration{})});
    if (held) {
        return;
    }
    if (!victims->empty()) {
        unloadFirst(planning, *victims);
    } else if (!m_ledger.busy() && fits(wanted->memoryMb, 0, planning.now)) {
        issue(planning, OrderKind::Load, {item.model, {}}, fromStore);
    }
}

void ModelKeeper::planAdapter(Planning &planning, const ItemName &item)
{
    const std::string name = toString(item);
    const auto coming = planning.coming.find(item.model);
    const TimePoint modelDue = coming == planning.coming.end() ? planning.now : coming->second;
    if (arrives(item)) {
        planning.expected.push_back({name, planning.now + AdapterTime});
        return;
    }
    const EngineModel *wanted = model(item.model);
    const auto blocked = m_blocks.find(name);
    const bool held = blocked != m_blocks.end() && planning.now < blocked->second.until;
    if (wanted == nullptr || wanted->adapters == 0 || (held && blocked->second.refused)) {
        planning.declined.push_back(name);
        return;
    }
    const auto victims = planning.room.makeRoom(wanted->adapterMb, 1);
    if (!victims) {
        planning.declined.push_back(name);
        return;
    }
    planning.room.addAdapter(item.model, {item.adapter, wanted->adapterMb, false, 0});
    planning.expected.push_back({name, modelDue + AdapterTime});
    if (held || coming != planning.coming.end()) {
        return;
    }
    if (!victims->empty()) {
        unloadFirst(planning, *victims);
    } else if (m_ledger.arriving().size() < AdaptersInTransit && fits(wanted->adapterMb, 1, planning.now)) {
        issue(planning, OrderKind::Load, item, false);
    }
}

void ModelKeeper::planPrefetch(Planning &planning) const
{
    const EngineModel *best = nullptr;
    double bestUse = PrefetchUse;
    for (const EngineModel &candidate : m_spec->models) {
        const double use = m_demand.useOf(candidate.name, planning.now);
        const bool possible = use > bestUse && !m_ledger.holds({candidate.name, {}}) && hasCopy(candidate.name)
            && !m_blocks.contains(candidate.name) && fits(candidate.memoryMb, 0, planning.now);
        if (possible) {
            best = &candidate;
            bestUse = use;
        }
    }
    if (best != nullptr && !m_ledger.busy()) {
        issue(planning, OrderKind::Load, {best->name, {}}, false);
    }
}

void ModelKeeper::unloadFirst(Planning &planning, const std::vector<ItemName> &victims) const
{
    for (const ItemName &victim : victims) {
        if (!victim.adapter.empty() || !m_ledger.busy()) {
            issue(planning, OrderKind::Unload, victim, false);
            return;
        }
    }
}

void ModelKeeper::issue(Planning &planning, OrderKind kind, const ItemName &item, bool storeLoad) const
{
    if (planning.order || !planning.mayOrder) {
        return;
    }
    planning.order =
        TargetOrder{kind, item.model, item.adapter, m_ledger.sequence(), m_settings.holder, *m_fence, m_instance};
    planning.storeLoad = storeLoad;
}

bool ModelKeeper::predecessorPossible(TimePoint now) const
{
    if (m_settings.firstStart || now >= m_settings.started + OrderLife) {
        return false;
    }
    // A predecessor had ended before this agent started, and gave no orders to an instance born since.
    if (m_successor && m_ledger.bornMs() + LeastRestartMs >= m_settings.startedMs && m_settings.startedMs != 0) {
        return false;
    }
    const std::int64_t oldestMs = m_settings.startedMs - toMilliseconds(OrderLife) - ClockDoubtMs;
    return m_ledger.bornMs() == 0 || m_settings.startedMs == 0 || m_ledger.bornMs() >= oldestMs;
}

// Room for orders that could be carried out after the next one: those to an earlier lifetime under
// the same name whose sequence is still to come, and one that an earlier agent may have sent so.
void ModelKeeper::reserve(double &memoryMb, std::uint32_t &slots, TimePoint now) const
{
    struct Most {
        double memoryMb = 0;
        std::uint32_t slots = 0;
    };
    std::map<std::uint64_t, Most> bySequence;
    for (const TargetOrder &order : m_ledger.laterLoads(m_instance)) {
        Most &most = bySequence[order.expectedSequence];
        const bool adapter = !order.adapter.empty();
        most.memoryMb = std::max(most.memoryMb, adapter ? adapterMb(order.model) : modelMb(order.model));
        most.slots = std::max(most.slots, adapter ? 1U : 0U);
    }
    if (predecessorPossible(now)) {
        memoryMb += m_largestMb;
        slots += 1;
    }
    for (const auto &[sequence, most] : bySequence) {
        memoryMb += most.memoryMb;
        slots += most.slots;
    }
}

bool ModelKeeper::fits(double memoryMb, std::uint32_t slots, TimePoint now) const
{
    double heldOrReservedMb = heldMb();
    std::uint32_t heldOrReservedSlots = heldSlots();
    reserve(heldOrReservedMb, heldOrReservedSlots, now);
    return heldOrReservedMb + memoryMb <= m_spec->memoryMb
        && (slots == 0 || heldOrReservedSlots + slots <= m_spec->adapterSlots);
}

double ModelKeeper::heldMb() const
{
    double sum = 0;
    for (const ResidentModel &model : m_ledger.resident()) {
        sum += modelMb(model.name) + static_cast<double>(model.adapters.size()) * adapterMb(model.name);
    }
    for (const TargetOrder &order : m_ledger.running()) {
        sum += order.kind == OrderKind::Load && !m_ledger.holds({order.model, {}}) ? modelMb(order.model) : 0;
    }
    for (const ItemName &item : m_ledger.arriving()) {
        sum += m_ledger.holds(item) ? 0 : adapterMb(item.model);
    }
    return sum;
}

std::uint32_t ModelKeeper::heldSlots() const
{
    std::size_t slots = 0;
    for (const ResidentModel &model : m_ledger.resident()) {
        slots += model.adapters.size();
    }
    for (const ItemName &item : m_ledger.arriving()) {
        slots += m_ledger.holds(item) ? 0 : 1;
    }
    return static_cast<std::uint32_t>(slots);
}

bool ModelKeeper::arrives(const ItemName &item) const
{
    const auto &arriving = m_ledger.arriving();
    return std::find(arriving.begin(), arriving.end(), item) != arriving.end();
}

const EngineModel *ModelKeeper::model(const std::string &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? nullptr : &found->second;
}

double ModelKeeper::modelMb(const std::string &name) const
{
    const EngineModel *known = model(name);
    return known == nullptr ? m_largestMb : known->memoryMb;
}

double ModelKeeper::adapterMb(const std::string &name) const
{
    const EngineModel *known = model(name);
    return known == nullptr ? 0 : known->adapterMb;
}

bool ModelKeeper::hasCopy(const std::string &name) const
{
    const auto in = [&name](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    return in(m_report.copies.inMemory) || in(m_report.copies.onDisk);
}

Duration ModelKeeper::loadTime(const std::string &name) const
{
    const EngineModel *known = model(name);
    if (known == nullptr) {
        return {};
    }
    const auto in = [&name](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    if (in(m_report.copies.inMemory)) {
        return known->memoryLoad;
    }
    return in(m_report.copies.onDisk) ? known->diskLoad : known->storeLoad;
}

// What it costs to bring the model back, by how much it is used and how lately.
double ModelKeeper::worthOf(const std::string &name, TimePoint now) const
{
    const double idle = std::max(toSeconds(now - m_demand.lastUsed(name)), 0.0);
    return toSeconds(loadTime(name)) * (m_demand.useOf(name, now) + 1 / (1 + idle));
}

bool ModelKeeper::freshlyLoaded(const std::string &name, TimePoint now) const
{
    const auto loaded = m_loadedAt.find(name);
    return loaded != m_loadedAt.end() && now - loaded->second < FreshLoad && m_demand.lastUsed(name) < loaded->second;
}

TimePoint ModelKeeper::runningDue(TimePoint now) const
{
    Duration longest = m_ledger.foreignRunning() ? ForeignTime : Duration{};
    for (const TargetOrder &order : m_ledger.running()) {
        longest = std::max(longest, order.kind == OrderKind::Load ? loadTime(order.model) : UnloadTime);
    }
    return std::max(m_ledger.runningSince() + longest, now + Soon);
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
        const Duration remaining = runningDue(now) - now;
        return std::clamp(remaining / 4, FastestRead, SlowestOrderRead);
    }
    if (!m_ledger.arriving().empty()) {
        return AdapterTime;
    }
    if (m_ledger.inDoubt() && now - m_doubtSince < IdleRead) {
        return SlowestOrderRead;
    }
    const bool active = m_report.active > 0 || m_report.queued > 0 || m_demand.active(now);
    return active ? ActiveRead : IdleRead;
}

void ModelKeeper::publish(const Planning &planning)
{
    m_expected = planning.expected;
    for (const auto &[name, due] : planning.coming) {
        const bool listed = std::any_of(m_expected.begin(), m_expected.end(), [&name = name](const Expected &expected) {
            return expected.item == name;
        });
        if (!listed) {
            m_expected.push_back({name, due});
        }
    }
    m_declined = planning.declined;
    KeeperView next = view(planning.now);
    next.queued = next.active = 0;
    next.cacheUsed = next.cacheTotal = 0;
    next.loading.clear();
    const bool same = next == m_published
        && std::equal(m_expected.begin(),
                      m_expected.end(),
                      m_publishedExpected.begin(),
                      m_publishedExpected.end(),
                      [](const Expected &left, const Expected &right) {
                          return left.item == right.item && left.due - right.due < DueChange
                              && right.due - left.due < DueChange;
                      });
    if (!same) {
        m_published = std::move(next);
        m_publishedExpected = m_expected;
        ++m_stateVersion;
    }
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
    for (const Expected &expected : m_expected) {
        view.loading.push_back({expected.item, std::max(expected.due - now, Soon)});
    }
    view.copies = m_report.copies;
    view.declined = m_declined;
    view.queued = m_report.queued;
    view.active = m_report.active;
    view.cacheUsed = m_report.cacheUsed;
    view.cacheTotal = m_report.cacheTotal;
    return view;
}

} // namespace celeryroute
