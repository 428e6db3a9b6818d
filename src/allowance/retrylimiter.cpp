#include <celeryroute/detail/allowance/retrylimiter.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr int SlicesPerWindow = 40;
/// Part of the ratio that is used, because the counted slices span a little more than a window.
constexpr double RatioPart = 0.9;
/// Part of the slack that is used, because an entry that restarts takes its share again.
constexpr double SlackPart = 0.5;

} // namespace

RetryLimiter::RetryLimiter(const ServingBounds &bounds, const EntryMembership &members)
    : m_bounds(bounds)
    , m_members(members)
{}

void RetryLimiter::useBounds(const ServingBounds &bounds)
{
    m_bounds = bounds;
}

void RetryLimiter::noteFirstSend(const std::string &pool, TimePoint now)
{
    Sends &sends = m_pools[pool];
    ++currentSlice(sends, now).firstSends;
    ++sends.firstSends;
}

bool RetryLimiter::tryTake(const std::string &pool, TimePoint now)
{
    Sends &sends = m_pools[pool];
    expire(sends, now);
    if (static_cast<double>(sends.retries) + 1 > allowedRetries(sends.firstSends)) {
        return false;
    }
    ++currentSlice(sends, now).retries;
    ++sends.retries;
    return true;
}

double RetryLimiter::allowedRetries(std::uint64_t firstSends) const
{
    const double slack = m_bounds.retrySlack * SlackPart / static_cast<double>(m_members.memberCount());
    return m_bounds.retryRatio * RatioPart * static_cast<double>(firstSends) + slack;
}

double RetryLimiter::remaining(const std::string &pool, TimePoint now) const
{
    const auto sends = m_pools.find(pool);
    return remainingRetries(sends == m_pools.end() ? Sends() : sends->second, now);
}

// Takes a copy, so that reading the budget does not change the state.
double RetryLimiter::remainingRetries(Sends sends, TimePoint now) const
{
    expire(sends, now);
    return std::max(0.0, allowedRetries(sends.firstSends) - static_cast<double>(sends.retries));
}

std::optional<double> RetryLimiter::leastRemaining(TimePoint now) const
{
    std::optional<double> least;
    for (const auto &[pool, sends] : m_pools) {
        const double poolRemaining = remainingRetries(sends, now);
        least = std::min(least.value_or(poolRemaining), poolRemaining);
    }
    return least;
}

RetryLimiter::Slice &RetryLimiter::currentSlice(Sends &sends, TimePoint now) const
{
    expire(sends, now);
    const Duration length = m_bounds.retryWindow / SlicesPerWindow;
    if (sends.slices.empty() || now - sends.slices.back().start >= length) {
        sends.slices.push_back({now, now});
    }
    sends.slices.back().lastSend = now;
    return sends.slices.back();
}

// A slice counts until its last send has left the window.
void RetryLimiter::expire(Sends &sends, TimePoint now) const
{
    while (!sends.slices.empty() && now - sends.slices.front().lastSend > m_bounds.retryWindow) {
        sends.firstSends -= sends.slices.front().firstSends;
        sends.retries -= sends.slices.front().retries;
        sends.slices.pop_front();
    }
}

} // namespace celeryroute
