#include <celeryroute/detail/placement/targettable.h>

#include <celeryroute/detail/placement/targetholdings.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

void TargetTable::noteLeaving(CallTicket ticket, const std::string &request, TimePoint now)
{
    const auto call = m_calls.find(ticket);
    if (call == m_calls.end()) {
        return;
    }
    const std::string &id = call->second.target;
    const auto known = m_targets.find(id);
    const bool isSameLifetime = known != m_targets.end() && known->second->lifetime == call->second.lifetime;
    // The start time may have become known after the call was sent.
    const std::int64_t bornMs = isSameLifetime ? known->second->bornMs : call->second.bornMs;
    if (!m_leaving.add(id, bornMs, now) || known == m_targets.end()) {
        return;
    }
    if (m_leaving.contains(id, known->second->bornMs)) {
        known->second->leaving = true;
        reindex(*known->second, now);
    }
    notifyLeavingChange(*known->second, "answer", request);
}

void TargetTable::setLeaving(KnownTarget &target, bool leaving)
{
    if (std::exchange(target.leaving, leaving) != leaving) {
        notifyLeavingChange(target, "lifetime");
    }
}

void TargetTable::notifyLeavingChange(const KnownTarget &target,
                                      std::string_view reason,
                                      const std::string &request) const
{
    if (m_onLeavingChange) {
        m_onLeavingChange({target.record.id, target.record.pool, target.bornMs, target.leaving, reason, request});
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
    m_leaving.learnBorn(target.record.id, bornMs);
    const bool leaving = m_leaving.contains(target.record.id, bornMs);
    if (target.leaving != leaving) {
        setLeaving(target, leaving);
        reindex(target, now);
    }
}

} // namespace celeryroute
