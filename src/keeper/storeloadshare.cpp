#include <celeryroute/detail/keeper/storeloadshare.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace celeryroute {

namespace {

constexpr double Slack = 2; ///< Loads in a window that are allowed in addition to the store's rate.
constexpr double Deviations = 4; ///< Standard deviations between the mean number of turns in a window and the limit.
constexpr Duration JoinDelay = std::chrono::seconds(2); ///< Longest time until all agents know a new target.
constexpr double TurnShare = 0.25; ///< Length of a turn as a part of the window.

} // namespace

StoreLoadShare::StoreLoadShare(std::uint64_t seed)
    : m_seed(seed)
{}

void StoreLoadShare::setLimits(double loadsPerSecond, const ServingBounds &bounds)
{
    m_window = bounds.loadWindow;
    m_limit = loadsPerSecond * toSeconds(bounds.loadWindow) * bounds.loadOverage + Slack;
}

void StoreLoadShare::noteTargets(std::uint32_t targets, TimePoint now)
{
    if (targets == 0) {
        return; // The entry does not know the number.
    }
    if (now >= m_periodEnd) {
        m_periodEnd = now + m_window;
        m_targets = std::exchange(m_mostInPeriod, targets);
    }
    m_mostInPeriod = std::max(m_mostInPeriod, targets);
    m_targets = std::max(m_targets, m_mostInPeriod);
}

void StoreLoadShare::noteUnobservedUntil(TimePoint until)
{
    m_unobservedUntil = std::max(m_unobservedUntil, until);
}

void StoreLoadShare::noteJoined(TimePoint now)
{
    noteUnobservedUntil(now + JoinDelay);
}

void StoreLoadShare::noteLoadStarted(TimePoint now)
{
    m_loadStarts.push_back(now);
    while (now - m_loadStarts.front() > m_window + cycle()) {
        m_loadStarts.pop_front();
    }
}

std::uint32_t StoreLoadShare::loadsPerWindow() const
{
    return m_targets == 0 ? 0 : static_cast<std::uint32_t>(m_limit / m_targets);
}

// Turns are distributed at random over the cycle, so the number of turns in a window varies around its mean by about
// sqrt(mean). The mean is chosen such that mean + Deviations * sqrt(mean) = limit.
Duration StoreLoadShare::cycle() const
{
    if (m_targets == 0 || loadsPerWindow() > 0) {
        return m_window;
    }
    const double half = Deviations / 2;
    const double root = std::sqrt(m_limit + half * half) - half;
    const double mean = std::max(root * root / (1 + TurnShare), 0.01);
    return fromSeconds(toSeconds(m_window) * m_targets / mean);
}

bool StoreLoadShare::permits(TimePoint now, std::uint32_t pending) const
{
    if (m_targets == 0 || m_limit <= Slack || isWaiting(now)) {
        return false;
    }
    return loadsPerWindow() > 0 ? permitsByCount(now, pending) : permitsByTurn(now, pending);
}

bool StoreLoadShare::isWaiting(TimePoint now) const
{
    return m_unobservedUntil != TimePoint::min() && now - m_unobservedUntil <= cycle();
}

bool StoreLoadShare::permitsByCount(TimePoint now, std::uint32_t pending) const
{
    return recentLoads(now) + pending < loadsPerWindow();
}

std::uint64_t StoreLoadShare::recentLoads(TimePoint now) const
{
    const auto recent = std::count_if(m_loadStarts.begin(), m_loadStarts.end(), [&](TimePoint began) {
        return now - began <= m_window;
    });
    return static_cast<std::uint64_t>(recent);
}

double StoreLoadShare::rateOf(std::uint64_t loads) const
{
    return m_window <= Duration::zero() ? 0 : static_cast<double>(loads) / toSeconds(m_window);
}

double StoreLoadShare::grantedRate(TimePoint now) const
{
    if (m_targets == 0 || m_limit <= Slack || isWaiting(now)) {
        return 0;
    }
    return loadsPerWindow() > 0 ? rateOf(loadsPerWindow()) : 1 / toSeconds(cycle());
}

Duration StoreLoadShare::positionInCycle(TimePoint time) const
{
    const Duration length = cycle();
    const auto ticks = static_cast<std::uint64_t>(length.count());
    const Duration phase{static_cast<Duration::rep>(m_seed % ticks)};
    return (time.time_since_epoch() + phase) % length;
}

bool StoreLoadShare::permitsByTurn(TimePoint now, std::uint32_t pending) const
{
    const bool taken = !m_loadStarts.empty() && now - m_loadStarts.back() <= cycle() / 2;
    return pending == 0 && !taken && positionInCycle(now) < fromSeconds(toSeconds(m_window) * TurnShare);
}

Duration StoreLoadShare::timeUntilTurn(TimePoint now) const
{
    if (m_targets == 0 || m_limit <= Slack || loadsPerWindow() > 0) {
        return Duration::zero();
    }
    constexpr Duration After = std::chrono::milliseconds(1);
    TimePoint from = now;
    if (m_unobservedUntil != TimePoint::min()) {
        from = std::max(from, m_unobservedUntil + cycle() + After);
    }
    if (!m_loadStarts.empty()) {
        from = std::max(from, m_loadStarts.back() + cycle() / 2 + After);
    }
    const Duration into = positionInCycle(from);
    const bool open = into < fromSeconds(toSeconds(m_window) * TurnShare);
    return from - now + (open ? Duration::zero() : cycle() - into);
}

} // namespace celeryroute
