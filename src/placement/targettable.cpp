#include <celeryroute/detail/placement/targettable.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/placement/targetholdings.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReportLag = 50ms; // Calls sent within this time before a report arrived are missing from it.

} // namespace

TargetTable::TargetTable(std::string name, std::string domain)
    : m_name(std::move(name))
    , m_domain(std::move(domain))
{}

TargetTable::~TargetTable() = default;

void TargetTable::onHealthChange(std::function<void(const HealthChange &)> changed)
{
    m_onHealthChange = std::move(changed);
}

void TargetTable::onLeavingChange(std::function<void(const LeavingChange &)> changed)
{
    m_onLeavingChange = std::move(changed);
}

void TargetTable::setState(const ServingState &state)
{
    for (const auto &[name, pool] : m_pools) {
        const ServingPool *declared = state.pool(name);
        pool->setEngineSpec(declared != nullptr ? declared->engine : std::nullopt);
    }
    for (const ServingPool &declared : state.pools) {
        TargetPool &pool = findOrCreatePool(declared.name);
        pool.setEngineSpec(declared.engine);
        pool.coldStart = declared.coldStart;
        pool.coldPerSecond = declared.coldPerSecond;
    }
}

void TargetTable::setEntries(std::uint32_t entries)
{
    m_entries = std::max(1U, entries);
}

ChangedModels TargetTable::setRecord(const TargetRecord &record, TimePoint now)
{
    KnownTarget &target = findOrCreate(record.id);
    const bool isNewLifetime = record.bornMs != target.bornMs && record.bornMs != target.record.bornMs;
    if (target.lifetime == 0 || isNewLifetime) {
        beginLifetime(target, record.bornMs, now);
    }
    ChangedModels changed = affectedModels(target);
    if (target.registered && target.record.pool != record.pool) {
        unindex(target);
    }
    const bool sameVersion = target.registered && target.record.pool == record.pool
        && target.record.softwareVersion == record.softwareVersion;
    if (target.registered && !sameVersion) {
        m_versions.targetRemoved(target.record.pool, target.record.softwareVersion, now);
    }
    if (!sameVersion) {
        m_versions.targetAdded(record.pool, record.softwareVersion, now);
    }
    m_registered += target.registered ? 0 : 1;
    count(target, -1);
    target.registered = true;
    target.record = record;
    target.evacuated = m_evacuated.contains(record.domain);
    count(target, 1);
    if (record.bornMs != target.bornMs) {
        target.record.models.clear(); // The agent reported another lifetime, so this record is outdated.
    }
    target.slots = record.slots > 0 ? record.slots : target.slots;
    append(changed, reindex(target, now));
    sortUnique(changed);
    noteColdRecord(target, now);
    return changed;
}

ChangedModels TargetTable::removeRecord(const std::string &id, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end() || !known->second->registered) {
        return {};
    }
    KnownTarget &target = *known->second;
    ChangedModels changed = affectedModels(target);
    sortUnique(changed);
    count(target, -1);
    target.registered = false;
    m_versions.targetRemoved(target.record.pool, target.record.softwareVersion, now);
    --m_registered;
    reindex(target, now);
    eraseIfUnused(id);
    return changed;
}

void TargetTable::confirmRecords(TimePoint readBegan)
{
    m_recordsConfirmed = readBegan;
}

ChangedModels
TargetTable::setView(const std::string &id, const TargetView &view, TimePoint now, std::optional<HeardMessage> message)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return {};
    }
    KnownTarget &target = *known->second;
    if (view.bornMs != 0 && target.bornMs != 0 && view.bornMs != target.bornMs) {
        if (view.bornMs < target.bornMs) {
            return {};
        }
        beginLifetime(target, view.bornMs, now);
        target.record.models.clear();
    } else if (view.bornMs != 0) {
        learnBorn(target, view.bornMs, now);
    }
    ChangedModels changed = affectedModels(target);
    const bool leavingChanged = view.leaving && view.bornMs != 0 && !target.leavingByAgent;
    if (leavingChanged) {
        m_leavingByAgent.add(id, view.bornMs);
        target.leavingByAgent = true;
        notifyLeavingChange(target, "agent");
    }
    const bool isUnchanged = target.view && target.isViewFresh(now) && *target.view == view;
    const bool holdingsChanged = !target.view || !sameHoldings(*target.view, view);
    target.view = view;
    target.viewReceivedAt = now;
    target.viewMessage = message;
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    std::uint64_t tokens = 0;
    for (const CallTicket ticket : target.own.tickets) {
        const SentCall &call = m_calls.at(ticket);
        if (call.sent + ReportLag <= now) {
            ++(call.started ? running : waiting);
            tokens += call.cacheTokens;
        }
    }
    target.foreign.running = view.active > running ? static_cast<double>(view.active - running) : 0;
    target.foreign.waiting = view.queued > waiting ? static_cast<double>(view.queued - waiting) : 0;
    target.foreign.cacheTokens = view.cacheUsed > tokens ? static_cast<double>(view.cacheUsed - tokens) : 0;
    target.foreign.at = now;
    target.foreign.heard = true;
    if (holdingsChanged || leavingChanged) {
        append(changed, reindex(target, now));
    } else if (isUnchanged) {
        return {};
    }
    sortUnique(changed);
    return changed;
}

ChangedModels TargetTable::setViewLoad(const std::string &id,
                                       const TargetLoad &load,
                                       TimePoint now,
                                       std::optional<HeardMessage> message)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end() || !known->second->view || known->second->view->state != load.state) {
        return {};
    }
    const KnownTarget &target = *known->second;
    TargetView view = *target.view;
    view.queued = load.queued;
    view.active = load.active;
    view.cacheUsed = load.cacheUsed;
    view.storeWait = load.storeWait;
    for (LoadingItem &loading : view.loading) {
        loading.remaining = std::max(Duration::zero(), loading.remaining - (now - target.viewReceivedAt));
    }
    return setView(id, view, now, message);
}

std::optional<Duration> TargetTable::ageOf(const KnownTarget &target, TimePoint now) const
{
    if (target.isViewFresh(now)) {
        return now - target.viewReceivedAt;
    }
    return m_recordsConfirmed ? std::optional(now - *m_recordsConfirmed) : std::nullopt;
}

const KnownTarget *TargetTable::target(const std::string &id) const
{
    const auto target = m_targets.find(id);
    return target == m_targets.end() ? nullptr : target->second.get();
}

const TargetPool *TargetTable::pool(const std::string &name) const
{
    const auto pool = m_pools.find(name);
    return pool == m_pools.end() ? nullptr : pool->second.get();
}

TargetPool *TargetTable::pool(const std::string &name)
{
    const auto pool = m_pools.find(name);
    return pool == m_pools.end() ? nullptr : pool->second.get();
}

const std::string &TargetTable::name() const
{
    return m_name;
}

const std::string &TargetTable::domain() const
{
    return m_domain;
}

std::uint32_t TargetTable::entries() const
{
    return m_entries;
}

std::size_t TargetTable::size() const
{
    return m_registered;
}

KnownTarget &TargetTable::findOrCreate(const std::string &id)
{
    std::unique_ptr<KnownTarget> &target = m_targets[id];
    if (!target) {
        target = std::make_unique<KnownTarget>();
        target->record.id = id;
        target->digest = stableHash(id);
        target->leaving = m_leaving.erase(id);
    }
    return *target;
}

TargetPool &TargetTable::findOrCreatePool(const std::string &name)
{
    std::unique_ptr<TargetPool> &pool = m_pools[name];
    if (!pool) {
        pool = std::make_unique<TargetPool>();
        pool->name = name;
    }
    return *pool;
}

// Calls sent in the previous lifetime no longer count as load, and their outcomes are ignored.
void TargetTable::beginLifetime(KnownTarget &target, std::int64_t bornMs, TimePoint now)
{
    const KnownTarget fresh;
    const bool isRestart = target.lifetime != 0;
    const std::optional<TimePoint> ejected = target.health.ejectedSince();
    target.lifetime = ++m_lifetimes;
    target.bornMs = bornMs;
    updateLeavingByAgent(target);
    // A pause is asked for by id, so it outlasts a restart.
    target.paused = m_pauses.endOf(target.record.id).has_value();
    m_limits.beginLifetime(target.record.id, bornMs, now);
    target.view.reset();
    target.health = fresh.health;
    notifyHealthChange(target, ejected, "new_lifetime", now);
    target.latency = fresh.latency;
    target.own = fresh.own;
    target.foreign = fresh.foreign;
    target.sentTokens = 0;
    target.atCapacityUntil = fresh.atCapacityUntil;
    if (isRestart) {
        noteCold(target, findOrCreatePool(target.record.pool).coldStart, "start", now);
    }
}

void TargetTable::eraseIfUnused(const std::string &id)
{
    const auto target = m_targets.find(id);
    if (target != m_targets.end() && !target->second->registered && target->second->own.calls == 0) {
        if (target->second->leaving) {
            m_leaving.set(id, {});
        }
        m_targets.erase(target);
    }
}

} // namespace celeryroute
