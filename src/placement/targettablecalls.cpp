#include <celeryroute/detail/placement/targettable.h>

#include <celeryroute/detail/placement/cachedprefixestimate.h>
#include <celeryroute/detail/placement/itemkey.h>
#include <celeryroute/detail/placement/targetholdings.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxCapacityPause = 200ms; // Longest time for which a target that reported no capacity gets no calls.
constexpr Duration MinCapacityPause = 10ms;
constexpr double OutlierFactor =
    3; // If a delay exceeds its prediction by this factor, the target is the cause, so the pool's speed ignores it.
constexpr double PriorityMixDecay = 0.99; // Factor by which each call reduces the weights of the earlier ones.
constexpr double MinPrediction = 0.001; // Seconds; avoids a division by 0.

} // namespace

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

std::uint64_t TargetTable::uncachedTokens(CallTicket ticket) const
{
    const auto call = m_calls.find(ticket);
    return call == m_calls.end() ? 0 : call->second.uncached;
}

} // namespace celeryroute
