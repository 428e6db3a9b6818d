#include <celeryroute/detail/targetlimit/targetlimits.h>

#include <algorithm>

namespace celeryroute {

LimitChange TargetLimits::noteAnswer(const std::string &target, const TargetLimit &limit)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end()) {
        if (!limit.perSecond) {
            return LimitChange::None;
        }
        m_targets[target] = limit;
        return LimitChange::Began;
    }
    if (!limit.isNewerThan(known->second)) {
        return LimitChange::None;
    }
    const std::optional<double> before = known->second.perSecond;
    known->second = limit;
    if (!limit.perSecond) {
        return before ? LimitChange::Ended : LimitChange::None;
    }
    if (!before) {
        return LimitChange::Began;
    }
    return *before == *limit.perSecond ? LimitChange::None : LimitChange::Moved;
}

LimitChange TargetLimits::beginLifetime(const std::string &target, std::int64_t bornMs, TimePoint now)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || bornMs == 0 || known->second.bornMs == 0 || known->second.bornMs >= bornMs) {
        return LimitChange::None;
    }
    return noteAnswer(target, {bornMs, std::nullopt, now});
}

const TargetLimit *TargetLimits::newest(const std::string &target) const
{
    const auto known = m_targets.find(target);
    return known == m_targets.end() ? nullptr : &known->second;
}

std::optional<double> TargetLimits::perSecond(const std::string &target) const
{
    const TargetLimit *known = newest(target);
    return known == nullptr ? std::nullopt : known->perSecond;
}

std::size_t TargetLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &known) {
        return known.second.perSecond.has_value();
    }));
}

void TargetLimits::expire(TimePoint now)
{
    std::erase_if(m_targets, [now](const auto &known) { return now - known.second.at > Retention; });
}

std::string_view labelValue(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        return "none";
    case LimitChange::Began:
        return "began";
    case LimitChange::Moved:
        return "moved";
    case LimitChange::Ended:
        break;
    }
    return "ended";
}

} // namespace celeryroute
