#include <celeryroute/detail/targetlimit/targetlimits.h>

#include <algorithm>
#include <utility>

namespace celeryroute {

namespace {

/// A limit that is told from entry to entry seems newer with each step, because the way of a message counts as time.
constexpr Duration TellingTime = std::chrono::milliseconds(100);

} // namespace

LimitChange TargetLimits::noteAnswer(const std::string &target, const TargetLimit &limit)
{
    const LimitChange change = note(target, limit);
    if (change != LimitChange::None) {
        m_news.push_back({target, change});
    }
    return change;
}

LimitChange TargetLimits::noteTold(const std::string &target, const TargetLimit &limit)
{
    const TargetLimit *known = newest(target);
    const bool isSame = known != nullptr && known->bornMs == limit.bornMs && known->perSecond == limit.perSecond;
    return isSame && limit.at - known->at < TellingTime ? LimitChange::None : note(target, limit);
}

std::vector<TargetLimits::News> TargetLimits::takeNews()
{
    return std::exchange(m_news, {});
}

LimitChange TargetLimits::note(const std::string &target, const TargetLimit &limit)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end()) {
        if (!limit.perSecond) {
            return LimitChange::None;
        }
        m_targets[target].limit = limit;
        return LimitChange::Began;
    }
    if (!limit.isNewerThan(known->second.limit)) {
        return LimitChange::None;
    }
    const std::optional<double> before = known->second.limit.perSecond;
    known->second.limit = limit;
    if (!limit.perSecond) {
        known->second.permits.clear();
        known->second.expected.reset();
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
    if (known == m_targets.end() || bornMs == 0 || known->second.limit.bornMs == 0
        || known->second.limit.bornMs >= bornMs) {
        return LimitChange::None;
    }
    return noteAnswer(target, {bornMs, std::nullopt, now});
}

const TargetLimit *TargetLimits::newest(const std::string &target) const
{
    const auto known = m_targets.find(target);
    return known == m_targets.end() ? nullptr : &known->second.limit;
}

std::optional<double> TargetLimits::perSecond(const std::string &target) const
{
    const Known *known = findLimited(target);
    return known == nullptr ? std::nullopt : known->limit.perSecond;
}

std::vector<std::string> TargetLimits::limited() const
{
    std::vector<std::string> targets;
    for (const auto &[target, known] : m_targets) {
        if (known.limit.perSecond) {
            targets.push_back(target);
        }
    }
    std::sort(targets.begin(), targets.end());
    return targets;
}

std::size_t TargetLimits::limitedCount() const
{
    return limited().size();
}

void TargetLimits::addPermits(const std::string &target, std::uint32_t calls, TimePoint until)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end() && known->second.limit.perSecond && calls > 0) {
        known->second.permits.push_back({calls, until});
    }
}

bool TargetLimits::mayReceive(const std::string &target, TimePoint now) const
{
    return findLimited(target) == nullptr || permits(target, now) > 0;
}

bool TargetLimits::use(const std::string &target, TimePoint now)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || !known->second.limit.perSecond) {
        return true;
    }
    std::vector<Permits> &permits = known->second.permits;
    std::erase_if(permits, [now](const Permits &held) { return held.until < now; });
    if (permits.empty()) {
        return false;
    }
    if (--permits.front().calls == 0) {
        permits.erase(permits.begin());
    }
    return true;
}

std::uint32_t TargetLimits::permits(const std::string &target, TimePoint now) const
{
    const Known *known = findLimited(target);
    std::uint32_t calls = 0;
    if (known != nullptr) {
        for (const Permits &held : known->permits) {
            calls += held.until >= now ? held.calls : 0;
        }
    }
    return calls;
}

std::uint64_t TargetLimits::permits(TimePoint now) const
{
    std::uint64_t calls = 0;
    for (const auto &[target, known] : m_targets) {
        calls += permits(target, now);
    }
    return calls;
}

void TargetLimits::expectPermit(const std::string &target, TimePoint at)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end() && known->second.limit.perSecond) {
        known->second.expected = at;
    }
}

Duration TargetLimits::permitDelay(const std::string &target, TimePoint now) const
{
    const Known *known = findLimited(target);
    if (known == nullptr || permits(target, now) > 0) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), known->expected.value_or(now) - now);
}

void TargetLimits::expire(TimePoint now)
{
    std::erase_if(m_targets, [now](const auto &known) { return now - known.second.limit.at > Retention; });
}

const TargetLimits::Known *TargetLimits::findLimited(const std::string &target) const
{
    const auto known = m_targets.find(target);
    return known == m_targets.end() || !known->second.limit.perSecond ? nullptr : &known->second;
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
