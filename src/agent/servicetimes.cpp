#include <celeryroute/detail/agent/servicetimes.h>

namespace celeryroute {

namespace {

constexpr double Smoothing = 0.1;
constexpr std::size_t MaxNames = 4096;

} // namespace

void ServiceTimes::record(const std::string &name, Duration elapsed)
{
    const auto known = m_times.find(name);
    if (known != m_times.end()) {
        const double smoothed = toSeconds(known->second) * (1 - Smoothing) + toSeconds(elapsed) * Smoothing;
        known->second = fromSeconds(smoothed);
    } else if (m_times.size() < MaxNames) {
        m_times.emplace(name, elapsed);
    }
}

Duration ServiceTimes::expected(const std::string &name) const
{
    const auto known = m_times.find(name);
    return known == m_times.end() ? Duration::zero() : known->second;
}

} // namespace celeryroute
