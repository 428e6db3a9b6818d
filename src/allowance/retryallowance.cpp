#include <celeryroute/detail/allowance/retryallowance.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr int SlicesPerWindow = 40;
/// Part of the ratio that is used, because the counted slices span a little more than a window.
constexpr double RatioPart = 0.9;
/// Part of the slack that is used, because an entry that restarts takes its share again.
constexpr double SlackPart = 0.5;

} // namespace

RetryAllowance::RetryAllowance(const ServingBounds &bounds, const MemberView &members)
    : m_bounds(bounds)
    , m_members(members)
{}

void RetryAllowance::useBounds(const ServingBounds &bounds)
{
    m_bounds = bounds;
}

void RetryAllowance::noteFirstSend(const std::string &pool, TimePoint now)
{
    Sends &sends = m_pools[pool];
    ++present(sends, now).first;
    ++sends.first;
}

bool RetryAllowance::take(const std::string &pool, TimePoint now)
{
    Sends &sends = m_pools[pool];
    expire(sends, now);
    if (static_cast<double>(sends.further) + 1 > allowed(sends.first)) {
        return false;
    }
    ++present(sends, now).further;
    ++sends.further;
    return true;
}

double RetryAllowance::allowed(std::uint64_t firstSends) const
{
    const double slack = m_bounds.retrySlack * SlackPart / static_cast<double>(m_members.memberCount());
    return m_bounds.retryRatio * RatioPart * static_cast<double>(firstSends) + slack;
}

double RetryAllowance::left(const std::string &pool, TimePoint now) const
{
    const auto sends = m_pools.find(pool);
    return left(sends == m_pools.end() ? Sends() : sends->second, now);
}

// Takes a copy, so that reading the budget does not change the state.
double RetryAllowance::left(Sends sends, TimePoint now) const
{
    expire(sends, now);
    return std::max(0.0, allowed(sends.first) - static_cast<double>(sends.further));
}

std::optional<double> RetryAllowance::leastLeft(TimePoint now) const
{
    std::optional<double> least;
    for (const auto &[pool, sends] : m_pools) {
        const double here = left(sends, now);
        least = std::min(least.value_or(here), here);
    }
    return least;
}

RetryAllowance::Slice &RetryAllowance::present(Sends &sends, TimePoint now) const
{
    expire(sends, now);
    const Duration length = m_bounds.retryWindow / SlicesPerWindow;
    if (sends.slices.empty() || now - sends.slices.back().start >= length) {
        sends.slices.push_back({now, now});
    }
    sends.slices.back().last = now;
    return sends.slices.back();
}

// A slice counts until its last send has left the window.
void RetryAllowance::expire(Sends &sends, TimePoint now) const
{
    while (!sends.slices.empty() && now - sends.slices.front().last > m_bounds.retryWindow) {
        sends.first -= sends.slices.front().first;
        sends.further -= sends.slices.front().further;
        sends.slices.pop_front();
    }
}

} // namespace celeryroute
