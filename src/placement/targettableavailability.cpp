#include <celeryroute/detail/placement/targettable.h>

#include <celeryroute/detail/placement/targetholdings.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

void TargetTable::noteLeaving(const std::string &id, const std::string &request, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        m_leaving.set(id, {});
    } else if (!std::exchange(known->second->leaving, true)) {
        reindex(*known->second, now);
        notifyLeavingChange(*known->second, "answer", request);
    }
}

void TargetTable::updateLeavingByAgent(KnownTarget &target)
{
    const bool leaving = m_leavingByAgent.contains(target.record.id, target.bornMs);
    if (std::exchange(target.leavingByAgent, leaving) != leaving) {
        notifyLeavingChange(target, "lifetime");
    }
}

void TargetTable::notifyLeavingChange(const KnownTarget &target,
                                      std::string_view reason,
                                      const std::string &request) const
{
    if (m_onLeavingChange) {
        m_onLeavingChange({target.record.id, target.record.pool, target.bornMs, target.isLeaving(), reason, request});
    }
}

ChangedModels TargetTable::setEvacuated(const std::set<std::string> &domains, TimePoint now)
{
    m_evacuated = domains;
    ChangedModels changed;
    for (const auto &[id, target] : m_targets) {
        const bool evacuated = domains.contains(target->record.domain);
        if (target->evacuated != evacuated) {
            count(*target, -1);
            target->evacuated = evacuated;
            count(*target, 1);
            append(changed, affectedModels(*target));
            append(changed, reindex(*target, now));
            // Targets are cold when an evacuation ends, and their records say so only with their next heartbeat.
            if (!evacuated) {
                noteCold(*target, findOrCreatePool(target->record.pool).coldStart, "evacuation", now);
            }
        }
    }
    sortUnique(changed);
    return changed;
}

std::size_t TargetTable::evacuatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &target) {
        return target.second->registered && target.second->evacuated;
    }));
}

// Asked for each refused call, so the targets are counted by their pools.
bool TargetTable::isEvacuated(const std::string &pool) const
{
    const auto known = m_pools.find(pool);
    return known != m_pools.end() && known->second->registered > 0
        && known->second->evacuated == known->second->registered;
}

void TargetTable::count(const KnownTarget &target, int change)
{
    if (target.registered) {
        TargetPool &pool = findOrCreatePool(target.record.pool);
        pool.registered += change;
        pool.evacuated += target.evacuated ? change : 0;
    }
}

std::map<std::string, std::vector<std::string>> TargetTable::evacuatedModels() const
{
    std::map<std::string, std::vector<std::string>> models;
    for (const auto &[id, target] : m_targets) {
        if (target->registered && target->evacuated) {
            append(models[target->record.pool], modelNames(*target));
        }
    }
    for (auto &[pool, names] : models) {
        sortUnique(names);
    }
    return models;
}

void TargetTable::noteCold(const KnownTarget &target, Duration remaining, std::string_view source, TimePoint now)
{
    const double perSecond = findOrCreatePool(target.record.pool).coldPerSecond;
    if (perSecond <= 0 || remaining <= Duration::zero()) {
        return;
    }
    const bool began = m_limits.noteCold(target.record.id, {target.bornMs, perSecond, now + remaining}, now);
    if (began && m_onColdChange) {
        m_onColdChange({target.record.id, target.record.pool, remaining, perSecond, source});
    }
}

// A record of an earlier lifetime says nothing about the one that the agent has reported.
void TargetTable::noteColdRecord(const KnownTarget &target, TimePoint now)
{
    if (target.record.bornMs == 0 || target.record.bornMs == target.bornMs) {
        noteCold(target, target.record.coldRemaining, "record", now);
    }
}

void TargetTable::noteColdRecords(TimePoint now)
{
    for (const auto &[id, target] : m_targets) {
        if (target->registered) {
            noteColdRecord(*target, now);
        }
    }
}

void TargetTable::onColdChange(std::function<void(const ColdChange &)> changed)
{
    m_onColdChange = std::move(changed);
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

void TargetTable::learnBorn(KnownTarget &target, std::int64_t bornMs, TimePoint now)
{
    if (target.bornMs != 0) {
        return;
    }
    target.bornMs = bornMs;
    const bool accepted = target.acceptsCalls();
    updateLeavingByAgent(target);
    if (target.acceptsCalls() != accepted) {
        reindex(target, now);
    }
}

} // namespace celeryroute
