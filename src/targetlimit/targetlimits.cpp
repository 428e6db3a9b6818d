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
        m_targets[target] = limit;
        return LimitChange::Began;
    }
    if (!limit.isNewerThan(known->second)) {
        return LimitChange::None;
    }
    const std::optional<double> before = known->second.perSecond;
    known->second = limit;
    if (!limit.perSecond) {
        m_held.erase(target);
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

bool TargetLimits::noteCold(const std::string &target, const ColdLimit &limit, TimePoint now)
{
    if (limit.until <= now) {
        return false;
    }
    ColdLimit &known = m_cold[target];
    const bool isNew = known.until <= now;
    const bool isOtherLifetime = limit.bornMs != 0 && known.bornMs != 0 && limit.bornMs != known.bornMs;
    if (isNew || (isOtherLifetime ? limit.bornMs > known.bornMs : limit.until > known.until)) {
        known = limit;
    }
    return isNew;
}

const ColdLimit *TargetLimits::cold(const std::string &target, TimePoint now) const
{
    const auto known = m_cold.find(target);
    return known == m_cold.end() || known->second.until <= now ? nullptr : &known->second;
}

std::size_t TargetLimits::coldCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_cold.begin(), m_cold.end(), [now](const auto &known) { return known.second.until > now; }));
}

const TargetLimit *TargetLimits::newest(const std::string &target) const
{
    const auto known = m_targets.find(target);
    return known == m_targets.end() ? nullptr : &known->second;
}

std::optional<double> TargetLimits::perSecond(const std::string &target) const
{
    const TargetLimit *limit = newest(target);
    return limit == nullptr ? std::nullopt : limit->perSecond;
}

std::optional<double> TargetLimits::perSecond(const std::string &target, TimePoint now) const
{
    const std::optional<double> named = perSecond(target);
    const ColdLimit *coldLimit = cold(target, now);
    if (coldLimit == nullptr) {
        return named;
    }
    return std::min(named.value_or(coldLimit->perSecond), coldLimit->perSecond);
}

std::vector<std::string> TargetLimits::limited() const
{
    std::vector<std::string> targets;
    for (const auto &[target, limit] : m_targets) {
        if (limit.perSecond) {
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
    if (calls > 0) {
        m_held[target].permits.push_back({calls, until});
    }
}

bool TargetLimits::mayReceive(const std::string &target, TimePoint now) const
{
    return !isLimited(target, now) || permits(target, now) > 0;
}

bool TargetLimits::use(const std::string &target, TimePoint now)
{
    if (!isLimited(target, now)) {
        return true;
    }
    const auto known = m_held.find(target);
    if (known == m_held.end()) {
        return false;
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
    const Held *known = held(target);
    std::uint32_t calls = 0;
    if (known != nullptr && isLimited(target, now)) {
        for (const Permits &permits : known->permits) {
            calls += permits.until >= now ? permits.calls : 0;
        }
    }
    return calls;
}

std::uint64_t TargetLimits::permits(TimePoint now) const
{
    std::uint64_t calls = 0;
    for (const auto &[target, known] : m_held) {
        calls += permits(target, now);
    }
    return calls;
}

void TargetLimits::expectPermit(const std::string &target, TimePoint at)
{
    m_held[target].expected = at;
}

Duration TargetLimits::permitDelay(const std::string &target, TimePoint now) const
{
    const Held *known = held(target);
    if (known == nullptr || !isLimited(target, now) || permits(target, now) > 0) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), known->expected.value_or(now) - now);
}

void TargetLimits::expire(TimePoint now)
{
    std::erase_if(m_targets, [now](const auto &known) { return now - known.second.at > Retention; });
    std::erase_if(m_cold, [now](const auto &known) { return known.second.until <= now; });
    std::erase_if(m_held, [now](const auto &known) {
        const auto isValid = [now](const Permits &permits) { return permits.until >= now; };
        return known.second.expected.value_or(now) <= now
            && std::none_of(known.second.permits.begin(), known.second.permits.end(), isValid);
    });
}

bool TargetLimits::isLimited(const std::string &target, TimePoint now) const
{
    return cold(target, now) != nullptr || perSecond(target).has_value();
}

const TargetLimits::Held *TargetLimits::held(const std::string &target) const
{
    const auto known = m_held.find(target);
    return known == m_held.end() ? nullptr : &known->second;
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
