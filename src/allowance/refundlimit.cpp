#include <celeryroute/detail/allowance/refundlimit.h>

#include <algorithm>

namespace celeryroute {

namespace {

/// Longest time between the admission of a request and its refund.
constexpr Duration MaxRefundDelay = std::chrono::seconds(30);

} // namespace

void RefundLimit::noteRoom(double room, TimePoint now)
{
    while (!m_minima.empty() && m_minima.back().room >= room) {
        m_minima.pop_back();
    }
    m_minima.push_back({++m_lastStep, now, room});
    while (now - m_minima.front().at > MaxRefundDelay) {
        m_lastDropped = m_minima.front().step;
        m_minima.pop_front();
    }
}

double RefundLimit::leastSince(std::uint64_t since) const
{
    const auto found = std::upper_bound(m_minima.begin(),
                                        m_minima.end(),
                                        since,
                                        [](std::uint64_t step, const Minimum &minimum) { return step < minimum.step; });
    return found == m_minima.end() || since < m_lastDropped ? 0 : std::max(0.0, found->room);
}

void RefundLimit::reduceSince(std::uint64_t since, double tokens)
{
    for (auto minimum = m_minima.rbegin(); minimum != m_minima.rend() && minimum->step > since; ++minimum) {
        minimum->room -= tokens;
    }
    // Greater rooms of earlier steps were not stored, so the exact minima are unknown. The adjusted values are valid as
    // lower bounds.
    double least = m_minima.empty() ? 0 : m_minima.back().room;
    for (auto minimum = m_minima.rbegin(); minimum != m_minima.rend(); ++minimum) {
        least = std::min(least, minimum->room);
        minimum->room = least;
    }
}

} // namespace celeryroute
