#include <celeryroute/detail/budget/headroomhistory.h>

#include <algorithm>

namespace celeryroute {

std::uint64_t HeadroomHistory::record(double headroom)
{
    ++m_lastStep;
    while (!m_minima.empty() && m_minima.back().headroom >= headroom) {
        m_minima.pop_back();
    }
    m_minima.push_back({m_lastStep, headroom});
    return m_lastStep;
}

double HeadroomHistory::minimumSince(std::uint64_t since) const
{
    if (since < m_firstKept || since > m_lastStep) {
        return 0.0;
    }
    const auto found = std::lower_bound(m_minima.begin(),
                                        m_minima.end(),
                                        since,
                                        [](const Minimum &minimum, std::uint64_t step) { return minimum.step < step; });
    return found->headroom;
}

// Earlier minima that are no longer below the lowered ones are removed, since they are not suffix minima
// any more.
void HeadroomHistory::reduce(std::uint64_t since, double tokens)
{
    std::deque<Minimum> kept;
    while (!m_minima.empty() && m_minima.back().step >= since) {
        kept.push_front({m_minima.back().step, m_minima.back().headroom - tokens});
        m_minima.pop_back();
    }
    while (!kept.empty() && !m_minima.empty() && m_minima.back().headroom >= kept.front().headroom) {
        m_minima.pop_back();
    }
    m_minima.insert(m_minima.end(), kept.begin(), kept.end());
}

void HeadroomHistory::dropBefore(std::uint64_t step)
{
    m_firstKept = std::max(m_firstKept, step);
    while (!m_minima.empty() && m_minima.front().step < step) {
        m_minima.pop_front();
    }
}

void HeadroomHistory::clear()
{
    m_firstKept = m_lastStep + 1;
    m_minima.clear();
}

} // namespace celeryroute
