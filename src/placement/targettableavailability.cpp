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
