#include <celeryroute/detail/keeper/storeloadshare.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace celeryroute {

namespace {

constexpr double Slack = 2; ///< Loads in a window that are allowed in addition to the store's rate.
constexpr double Deviations = 4; ///< Standard deviations between the mean number of turns in a window and the limit.
constexpr Duration CountLag = std::chrono::seconds(2); ///< Longest time until all agents know a new target.
constexpr double TurnShare = 0.25; ///< Length of a turn as a part of the window.

} // namespace

StoreLoadShare::StoreLoadShare(std::uint64_t seed)
    : m_seed(seed)
{}

void StoreLoadShare::useLimits(double loadsPerSecond, const ServingBounds &bounds)
{
    m_window = bounds.loadWindow;
    m_limit = loadsPerSecond * toSeconds(bounds.loadWindow) * bounds.loadOverage + Slack;
}

void StoreLoadShare::useTargets(std::uint32_t targets, TimePoint now)
{
    if (targets == 0) {
        return; // The entry does not know the number.
    }
    if (now >= m_periodEnd) {
        m_periodEnd = now + m_window;
        m_targets = std::exchange(m_most, targets);
    }
    m_most = std::max(m_most, targets);
    m_targets = std::max(m_targets, m_most);
}

void StoreLoadShare::noteUnknownPast(TimePoint until)
{
    m_unknownUntil = std::max(m_unknownUntil, until);
}

void StoreLoadShare::noteJoined(TimePoint now)
{
    noteUnknownPast(now + CountLag);
}

void StoreLoadShare::noteBegan(TimePoint now)
{
    m_began.push_back(now);
    while (now - m_began.front() > m_window + cycle()) {
        m_began.pop_front();
    }
}

std::uint32_t StoreLoadShare::perWindow() const
{
    return m_targets == 0 ? 0 : static_cast<std::uint32_t>(m_limit / m_targets);
}

// Turns are distributed at random over the cycle, so the number of turns in a window varies around its mean by about
// sqrt(mean). The mean is chosen such that mean + Deviations * sqrt(mean) = limit.
Duration StoreLoadShare::cycle() const
{
    if (m_targets == 0 || perWindow() > 0) {
        return m_window;
    }
    const double half = Deviations / 2;
    const double root = std::sqrt(m_limit + half * half) - half;
    const double mean = std::max(root * root / (1 + TurnShare), 0.01);
    return fromSeconds(toSeconds(m_window) * m_targets / mean);
}

bool StoreLoadShare::permits(TimePoint now, std::uint32_t pending) const
{
    if (m_targets == 0 || m_limit <= Slack) {
        return false;
    }
    if (m_unknownUntil != TimePoint::min() && now - m_unknownUntil <= cycle()) {
        return false;
    }
    return perWindow() > 0 ? permitsByCount(now, pending) : permitsByTurn(now, pending);
}

bool StoreLoadShare::permitsByCount(TimePoint now, std::uint32_t pending) const
{
    const auto recent = std::count_if(m_began.begin(), m_began.end(), [&](TimePoint began) {
        return now - began <= m_window;
    });
    return static_cast<std::uint32_t>(recent) + pending < perWindow();
}

Duration StoreLoadShare::intoCycle(TimePoint time) const
{
    const Duration length = cycle();
    const auto ticks = static_cast<std::uint64_t>(length.count());
    const Duration phase{static_cast<Duration::rep>(m_seed % ticks)};
    return (time.time_since_epoch() + phase) % length;
}

bool StoreLoadShare::permitsByTurn(TimePoint now, std::uint32_t pending) const
{
    const bool taken = !m_began.empty() && now - m_began.back() <= cycle() / 2;
    return pending == 0 && !taken && intoCycle(now) < fromSeconds(toSeconds(m_window) * TurnShare);
}

Duration StoreLoadShare::untilTurn(TimePoint now) const
{
    if (m_targets == 0 || m_limit <= Slack || perWindow() > 0) {
        return Duration::zero();
    }
    constexpr Duration After = std::chrono::milliseconds(1);
    TimePoint from = now;
    if (m_unknownUntil != TimePoint::min()) {
        from = std::max(from, m_unknownUntil + cycle() + After);
    }
    if (!m_began.empty()) {
        from = std::max(from, m_began.back() + cycle() / 2 + After);
    }
    const Duration into = intoCycle(from);
    const bool open = into < fromSeconds(toSeconds(m_window) * TurnShare);
    return from - now + (open ? Duration::zero() : cycle() - into);
}

} // namespace celeryroute
