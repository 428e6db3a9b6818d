#include <celeryroute/detail/node/limitmessages.h>

#include <celeryroute/detail/serving/coldstart.h>
#include <celeryroute/detail/targetlimit/readlimit.h>

#include <serving.pb.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

constexpr Duration LongestTime = std::chrono::hours(24);

std::uint32_t boundedMs(Duration time)
{
    return static_cast<std::uint32_t>(toMilliseconds(std::clamp(time, Duration::zero(), LongestTime)));
}

std::optional<double> perSecondOf(const wire::EntryLimits::Limit &limit)
{
    const double perSecond = limit.per_second();
    const bool isValid = !limit.ended() && std::isfinite(perSecond) && perSecond >= 0;
    return isValid ? std::optional(std::min(perSecond, MaxTargetLimit)) : std::nullopt;
}

} // namespace

void writeLimits(const LimitReport &report, TimePoint now, wire::EntryLimits &limits)
{
    for (const LimitNotice &notice : report.notices) {
        wire::EntryLimits::Limit &out = *limits.add_limits();
        out.set_target(notice.target);
        out.set_born_ms(notice.limit.bornMs);
        out.set_ended(!notice.limit.perSecond);
        out.set_per_second(notice.limit.perSecond.value_or(0));
        out.set_age_ms(boundedMs(now - notice.limit.at));
    }
    for (const ColdNotice &notice : report.cold) {
        wire::EntryLimits::Cold &out = *limits.add_cold();
        out.set_target(notice.target);
        out.set_born_ms(notice.limit.bornMs);
        out.set_per_second(notice.limit.perSecond);
        out.set_remaining_ms(boundedMs(notice.limit.until - now));
    }
    for (const PermitRequest &request : report.requests) {
        wire::EntryLimits::Request &out = *limits.add_requests();
        out.set_target(request.target);
        out.set_calls(request.calls);
        out.set_priority(request.priority);
        out.set_asked_at_ms(request.askedAtMs);
        out.set_seen_grant(request.seenGrant);
    }
    for (const PermitGrant &grant : report.grants) {
        wire::EntryLimits::Grant &out = *limits.add_grants();
        out.set_target(grant.target);
        out.set_number(grant.number);
        out.set_calls(grant.calls);
        out.set_asked_at_ms(grant.askedAtMs);
        out.set_next_after_ms(boundedMs(grant.nextAfter));
    }
}

LimitReport readLimits(const wire::EntryLimits &limits, TimePoint now)
{
    LimitReport report;
    for (const wire::EntryLimits::Limit &limit : limits.limits()) {
        const TimePoint at = now - std::chrono::milliseconds(limit.age_ms());
        report.notices.push_back({limit.target(), {limit.born_ms(), perSecondOf(limit), at}});
    }
    for (const wire::EntryLimits::Cold &cold : limits.cold()) {
        const Duration remaining = std::min<Duration>(std::chrono::milliseconds(cold.remaining_ms()), LongestColdTime);
        if (std::isfinite(cold.per_second()) && cold.per_second() > 0) {
            report.cold.push_back({cold.target(), {cold.born_ms(), cold.per_second(), now + remaining}});
        }
    }
    for (const wire::EntryLimits::Request &request : limits.requests()) {
        report.requests.push_back(
            {request.target(), request.calls(), request.priority(), request.asked_at_ms(), request.seen_grant()});
    }
    for (const wire::EntryLimits::Grant &grant : limits.grants()) {
        report.grants.push_back({grant.target(),
                                 grant.number(),
                                 grant.calls(),
                                 grant.asked_at_ms(),
                                 std::chrono::milliseconds(grant.next_after_ms())});
    }
    return report;
}

} // namespace celeryroute
