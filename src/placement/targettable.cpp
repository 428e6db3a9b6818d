#include <celeryroute/detail/placement/targettable.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/placement/cachedprefixestimate.h>
#include <celeryroute/detail/placement/itemkey.h>

#include <algorithm>
#include <iterator>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReportLag = 50ms; // Calls sent within this time before a report arrived are missing from it.
constexpr Duration MaxCapacityPause = 200ms; // Longest time for which a target that reported no capacity gets no calls.
constexpr Duration MinCapacityPause = 10ms;
constexpr double OutlierFactor =
    3; // If a delay exceeds its prediction by this factor, the target is the cause, so the pool's speed ignores it.
constexpr double PriorityMixDecay = 0.99; // Factor by which each call reduces the weights of the earlier ones.
constexpr double MinPrediction = 0.001; // Seconds; avoids a division by 0.

void sortUnique(std::vector<std::string> &list)
{
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
}

void append(std::vector<std::string> &list, const std::vector<std::string> &more)
{
    list.insert(list.end(), more.begin(), more.end());
}

std::vector<std::string> modelNames(const KnownTarget &target)
{
    std::vector<std::string> names;
    for (const ResidentModel &model : target.record.models) {
        names.push_back(model.name);
    }
    if (target.view) {
        for (const ResidentModel &model : target.view->models) {
            names.push_back(model.name);
        }
    }
    sortUnique(names);
    return names;
}

std::vector<std::string> loadingItems(const KnownTarget &target)
{
    std::vector<std::string> items;
    if (target.view) {
        for (const LoadingItem &loading : target.view->loading) {
            items.push_back(loading.item);
        }
    }
    sortUnique(items);
    return items;
}

std::vector<std::string> copyNames(const KnownTarget &target)
{
    std::vector<std::string> names = target.record.copies.inMemory;
    append(names, target.record.copies.onDisk);
    if (target.view) {
        append(names, target.view->copies.inMemory);
        append(names, target.view->copies.onDisk);
    }
    sortUnique(names);
    return names;
}

/// Removes @p target from the rings that are only in @p before and adds it to those only in @p after.
void updateRings(std::unordered_map<std::string, TargetRing> &rings,
                 KnownTarget &target,
                 std::vector<std::string> &before,
                 std::vector<std::string> after)
{
    for (const std::string &name : before) {
        if (!std::binary_search(after.begin(), after.end(), name)) {
            const auto ring = rings.find(name);
            ring->second.erase(&target);
            if (ring->second.empty()) {
                rings.erase(ring);
            }
        }
    }
    for (const std::string &name : after) {
        if (!std::binary_search(before.begin(), before.end(), name)) {
            rings[name].insert(&target);
        }
    }
    before = std::move(after);
}

ChangedModels affectedModels(const KnownTarget &target)
{
    ChangedModels models = target.indexedModels;
    for (const std::string &item : target.indexedLoading) {
        models.push_back(modelOfItem(item));
    }
    if (target.view) {
        for (const std::string &item : target.view->declined) {
            models.push_back(modelOfItem(item));
        }
    }
    return models;
}

bool sameHoldings(const TargetView &left, const TargetView &right)
{
    return left.models == right.models && left.loading == right.loading && left.copies == right.copies;
}

bool eraseItem(std::vector<ResidentModel> &models, const std::string &item)
{
    const std::string model = modelOfItem(item);
    const auto held = std::find_if(models.begin(), models.end(), [&model](const ResidentModel &resident) {
        return resident.name == model;
    });
    if (held == models.end()) {
        return false;
    }
    if (model == item) {
        models.erase(held);
        return true;
    }
    return std::erase(held->adapters, item.substr(model.size() + 1)) > 0;
}

} // namespace

struct TargetTable::SentCall {
    std::string target;
    std::string pool;
    std::uint32_t lifetime = 0;
    std::int64_t bornMs = 0; ///< Start of the lifetime, if it was known when the call was sent.
    std::string item; ///< Empty for a plain service.
    std::uint64_t cacheTokens = 0; ///< Tokens of prompt and expected output.
    std::uint64_t uncached = 0; ///< Prompt tokens that the target must prefill.
    std::uint32_t priority = 0;
    TimePoint sent;
    double predicted = 0; ///< Predicted seconds until the first event.
    double slack = 0; ///< Seconds left of the latency goal when the call was sent.
    bool foundNoBacklog = false; ///< When the call was sent, no call waited at the target and few were running.
    bool started = false;
};

TargetTable::TargetTable(std::string name, std::string domain)
    : m_name(std::move(name))
    , m_domain(std::move(domain))
{}

TargetTable::~TargetTable() = default;

void TargetTable::onHealthChange(std::function<void(const HealthChange &)> changed)
{
    m_onHealthChange = std::move(changed);
}

void TargetTable::setState(const ServingState &state)
{
    for (const auto &[name, pool] : m_pools) {
        const ServingPool *declared = state.pool(name);
        pool->setEngineSpec(declared != nullptr ? declared->engine : std::nullopt);
    }
    for (const ServingPool &declared : state.pools) {
        findOrCreatePool(declared.name).setEngineSpec(declared.engine);
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
    target.registered = true;
    target.record = record;
    if (record.bornMs != target.bornMs) {
        target.record.models.clear(); // The agent reported another lifetime, so this record is outdated.
    }
    target.slots = record.slots > 0 ? record.slots : target.slots;
    append(changed, reindex(target, now));
    sortUnique(changed);
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
    if (holdingsChanged) {
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

std::optional<std::int64_t> TargetTable::noteLeaving(CallTicket ticket, TimePoint now)
{
    const auto call = m_calls.find(ticket);
    if (call == m_calls.end()) {
        return std::nullopt;
    }
    const std::string &id = call->second.target;
    const auto known = m_targets.find(id);
    const bool isSameLifetime = known != m_targets.end() && known->second->lifetime == call->second.lifetime;
    // The start time may have become known after the call was sent.
    const std::int64_t bornMs = isSameLifetime ? known->second->bornMs : call->second.bornMs;
    if (!m_leaving.add(id, bornMs, now)) {
        return std::nullopt;
    }
    if (known != m_targets.end() && m_leaving.contains(id, known->second->bornMs)) {
        known->second->leaving = true;
        reindex(*known->second, now);
    }
    return bornMs;
}

void TargetTable::notePause(const std::string &id, TimePoint until, TimePoint now)
{
    if (until <= now) {
        return;
    }
    m_pauses.add(id, until);
    const auto known = m_targets.find(id);
    if (known != m_targets.end()) {
        known->second->paused = true;
        reindex(*known->second, now);
    }
}

ChangedModels TargetTable::resumePaused(TimePoint now)
{
    ChangedModels changed;
    for (const std::string &id : m_pauses.takeEnded(now)) {
        const auto known = m_targets.find(id);
        if (known != m_targets.end()) {
            known->second->paused = false;
            append(changed, reindex(*known->second, now));
        }
    }
    sortUnique(changed);
    return changed;
}

std::optional<TimePoint> TargetTable::nextResume() const
{
    return m_pauses.nextEnd();
}

std::optional<TimePoint> TargetTable::pausedUntil(const std::string &id) const
{
    return m_pauses.endOf(id);
}

std::optional<Duration> TargetTable::pauseLeft(const std::string &pool, TimePoint now) const
{
    std::optional<Duration> least;
    for (const auto &[id, until] : m_pauses.ends()) {
        const KnownTarget *paused = target(id);
        if (paused != nullptr && paused->registered && paused->record.pool == pool) {
            const Duration left = std::max(Duration::zero(), until - now);
            least = std::min(least.value_or(left), left);
        }
    }
    return least;
}

void TargetTable::noteLoad(const std::string &id, const ReportedLoad &load, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    KnownTarget &target = *known->second;
    if (target.slots == 0) {
        target.slots = load.slots;
    }
    if (target.isViewFresh(now)) {
        return;
    }
    const double all = static_cast<double>(load.running) + load.waiting;
    const double others = std::max(0.0, all - target.own.calls);
    target.foreign.waiting = std::min<double>(others, load.waiting);
    target.foreign.running = others - target.foreign.waiting;
    target.foreign.cacheTokens = others * findOrCreatePool(target.record.pool).tokens.value(0, now);
    target.foreign.at = now;
    target.foreign.heard = true;
}

CallTicket TargetTable::noteSent(const std::string &id, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return 0;
    }
    SentCall call;
    call.sent = now;
    return addCall(*known->second, std::move(call));
}

CallTicket TargetTable::noteSent(const std::string &id, const EngineCall &engineCall, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return 0;
    }
    KnownTarget &target = *known->second;
    TargetPool &pool = findOrCreatePool(target.record.pool);
    const PrefixChain chain = prefixChain(engineCall);
    const std::uint64_t capacity = pool.engine ? pool.engine->cacheTokens : 0;
    const std::uint64_t kept = CachedPrefixEstimate(pool.prefixes, chain)
                                   .cachedPrefixTokens(target, capacity, m_entries);
    SentCall call;
    call.item = itemKey(engineCall.model, engineCall.adapter);
    call.cacheTokens = engineCall.promptTokens + engineCall.expectedOutput();
    call.uncached = engineCall.promptTokens - std::min(kept, engineCall.promptTokens);
    call.sent = now;
    call.foundNoBacklog = target.waiting(now) < 1 && target.running(now) * 4 < std::max(1U, target.slots);
    call.priority = engineCall.priority;
    call.slack = toSeconds(engineCall.targetLatency - engineCall.waited);
    call.predicted = pool.predictDelays(target, call.uncached, call.priority, now).firstEventDelay;
    pool.priorityMix.scale(PriorityMixDecay);
    pool.priorityMix.add(call.priority, 1);
    target.sentTokens += call.uncached;
    pool.prefixes.note(chain, target.lifetime, target.sentTokens);
    pool.uncached.add(static_cast<double>(call.uncached), static_cast<double>(call.uncached), now);
    pool.tokens.add(static_cast<double>(call.cacheTokens), static_cast<double>(call.cacheTokens), now);
    return addCall(target, std::move(call));
}

CallTicket TargetTable::addCall(KnownTarget &target, SentCall call)
{
    const CallTicket ticket = ++m_tickets;
    call.target = target.record.id;
    call.pool = target.record.pool;
    call.lifetime = target.lifetime;
    call.bornMs = target.bornMs;
    OwnLoad &own = target.own;
    ++own.calls;
    ++own.waiting;
    own.waitingTokens.add(call.priority, static_cast<double>(call.uncached));
    TargetPool &pool = findOrCreatePool(target.record.pool);
    ++pool.waiting;
    pool.waitingTokens.add(call.priority, static_cast<double>(call.uncached));
    own.cacheTokens += call.cacheTokens;
    if (!call.item.empty()) {
        ++own.items[call.item];
    }
    own.tickets.push_back(ticket);
    target.health.noteSent(call.sent);
    m_calls.emplace(ticket, std::move(call));
    return ticket;
}

ChangedModels TargetTable::noteFirstEvent(CallTicket ticket, TimePoint now)
{
    const auto known = m_calls.find(ticket);
    if (known == m_calls.end() || known->second.started) {
        return {};
    }
    SentCall &call = known->second;
    call.started = true;
    removeFromWaiting(call);
    const auto target = m_targets.find(call.target);
    if (target == m_targets.end() || target->second->lifetime != call.lifetime) {
        return {};
    }
    OwnLoad &own = target->second->own;
    --own.waiting;
    own.waitingTokens.add(call.priority, -static_cast<double>(call.uncached));
    recordFirstEvent(findOrCreatePool(target->second->record.pool), *target->second, call, now);
    ChangedModels changed = affectedModels(*target->second);
    sortUnique(changed);
    return changed;
}

void TargetTable::removeFromWaiting(const SentCall &call)
{
    TargetPool &pool = findOrCreatePool(call.pool);
    --pool.waiting;
    pool.waitingTokens.add(call.priority, -static_cast<double>(call.uncached));
}

void TargetTable::recordFirstEvent(TargetPool &pool, KnownTarget &target, const SentCall &call, TimePoint now)
{
    const double seconds = toSeconds(now - call.sent);
    if (call.item.empty()) {
        target.latency.add(seconds, pool.latency.value(seconds, now), now);
        pool.latency.add(seconds, seconds, now);
        return;
    }
    const double factor = seconds / std::max(call.predicted, MinPrediction);
    const double ofTarget = factor / pool.delays.factor(call.priority, now);
    target.latency.add(ofTarget, 1, now);
    pool.delays.add(call.priority, factor, seconds > call.slack, now);
    if (call.foundNoBacklog && ofTarget < OutlierFactor) {
        pool.speed.add(call.uncached, seconds);
    }
}

void TargetTable::noteSilent(CallTicket ticket, TimePoint now)
{
    const auto call = m_calls.find(ticket);
    const auto found = call == m_calls.end() ? m_targets.end() : m_targets.find(call->second.target);
    if (found != m_targets.end() && found->second->lifetime == call->second.lifetime) {
        KnownTarget &target = *found->second;
        const std::optional<TimePoint> ejected = target.health.ejectedSince();
        target.health.noteUnreachable(now);
        notifyHealthChange(target, ejected, "silent", now);
    }
}

ChangedModels TargetTable::noteEnded(CallTicket ticket, CallEnd end, TimePoint now)
{
    const auto known = m_calls.find(ticket);
    if (known == m_calls.end()) {
        return {};
    }
    if (end == CallEnd::Answered) {
        noteFirstEvent(ticket, now);
    }
    const SentCall call = std::move(known->second);
    m_calls.erase(known);
    if (!call.started) {
        removeFromWaiting(call);
    }
    const auto found = m_targets.find(call.target);
    if (found == m_targets.end() || found->second->lifetime != call.lifetime) {
        return {};
    }
    KnownTarget &target = *found->second;
    OwnLoad &own = target.own;
    --own.calls;
    own.waiting -= call.started ? 0 : 1;
    own.waitingTokens.add(call.priority, call.started ? 0 : -static_cast<double>(call.uncached));
    own.cacheTokens -= call.cacheTokens;
    if (!call.item.empty() && --own.items[call.item] == 0) {
        own.items.erase(call.item);
    }
    std::erase(own.tickets, ticket);
    recordOutcome(findOrCreatePool(target.record.pool), target, call, end, now);
    ChangedModels changed = affectedModels(target);
    if (end == CallEnd::NotResident) {
        eraseItem(target.record.models, call.item);
        if (target.view) {
            eraseItem(target.view->models, call.item);
        }
        reindex(target, now);
    }
    eraseIfUnused(call.target);
    sortUnique(changed);
    return changed;
}

void TargetTable::recordOutcome(TargetPool &pool, KnownTarget &target, const SentCall &call, CallEnd end, TimePoint now)
{
    const std::optional<TimePoint> ejected = target.health.ejectedSince();
    switch (end) {
    case CallEnd::Answered:
    case CallEnd::Failed: {
        const bool failed = end == CallEnd::Failed;
        target.health.noteAnswer(failed, pool.failures.value(0, now), now);
        notifyHealthChange(target, ejected, "answered", now);
        pool.failures.add(failed ? 1 : 0, 0, now);
        const double seconds = toSeconds(now - call.sent);
        if (!failed) {
            pool.duration.add(seconds, seconds, now);
        }
        return;
    }
    case CallEnd::Unreachable:
        target.health.noteUnreachable(now);
        notifyHealthChange(target, ejected, "unreachable", now);
        return;
    case CallEnd::Full: {
        target.health.noteAbandoned();
        const double calls = target.running(now) + target.waiting(now);
        const Duration pause = fromSeconds(pool.duration.value(0, now) / std::max(1.0, calls));
        target.atCapacityUntil = now + std::clamp(pause, MinCapacityPause, MaxCapacityPause);
        return;
    }
    case CallEnd::NotResident:
    case CallEnd::Abandoned:
        target.health.noteAbandoned();
        return;
    }
}

void TargetTable::notifyHealthChange(const KnownTarget &target,
                                     const std::optional<TimePoint> &ejectedBefore,
                                     std::string_view reason,
                                     TimePoint now) const
{
    const bool ejected = target.health.ejectedSince().has_value();
    if (m_onHealthChange && ejected != ejectedBefore.has_value()) {
        const Duration span = ejected ? target.health.ejectedFor(now) : now - *ejectedBefore;
        m_onHealthChange({target.record.id, ejected, reason, span});
    }
}

std::optional<Duration> TargetTable::ageOf(const KnownTarget &target, TimePoint now) const
{
    if (target.isViewFresh(now)) {
        return now - target.viewReceivedAt;
    }
    return m_recordsConfirmed ? std::optional(now - *m_recordsConfirmed) : std::nullopt;
}

std::uint64_t TargetTable::uncachedTokens(CallTicket ticket) const
{
    const auto call = m_calls.find(ticket);
    return call == m_calls.end() ? 0 : call->second.uncached;
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
    const std::optional<TimePoint> ejected = target.health.ejectedSince();
    target.lifetime = ++m_lifetimes;
    target.bornMs = bornMs;
    target.leaving = m_leaving.contains(target.record.id, bornMs);
    // A pause is asked for by id, so it outlasts a restart.
    target.paused = m_pauses.endOf(target.record.id).has_value();
    target.view.reset();
    target.health = fresh.health;
    notifyHealthChange(target, ejected, "new_lifetime", now);
    target.latency = fresh.latency;
    target.own = fresh.own;
    target.foreign = fresh.foreign;
    target.sentTokens = 0;
    target.atCapacityUntil = fresh.atCapacityUntil;
}

void TargetTable::learnBorn(KnownTarget &target, std::int64_t bornMs, TimePoint now)
{
    if (target.bornMs != 0) {
        return;
    }
    target.bornMs = bornMs;
    m_leaving.learnBorn(target.record.id, bornMs);
    const bool leaving = m_leaving.contains(target.record.id, bornMs);
    if (target.leaving != leaving) {
        target.leaving = leaving;
        reindex(target, now);
    }
}

void TargetTable::unindex(KnownTarget &target)
{
    TargetPool &pool = findOrCreatePool(target.record.pool);
    pool.accepting.erase(&target);
    updateRings(pool.holders, target, target.indexedModels, {});
    updateRings(pool.loading, target, target.indexedLoading, {});
    updateRings(pool.copies, target, target.indexedCopies, {});
}

ChangedModels TargetTable::reindex(KnownTarget &target, TimePoint /*now*/)
{
    if (!target.acceptsCalls()) {
        unindex(target);
        return {};
    }
    TargetPool &pool = findOrCreatePool(target.record.pool);
    pool.accepting.insert(&target);
    updateRings(pool.holders, target, target.indexedModels, modelNames(target));
    updateRings(pool.loading, target, target.indexedLoading, loadingItems(target));
    updateRings(pool.copies, target, target.indexedCopies, copyNames(target));
    return affectedModels(target);
}

void TargetTable::eraseIfUnused(const std::string &id)
{
    const auto target = m_targets.find(id);
    if (target != m_targets.end() && !target->second->registered && target->second->own.calls == 0) {
        m_targets.erase(target);
    }
}

} // namespace celeryroute
