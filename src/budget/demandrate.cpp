#include <celeryroute/detail/budget/demandrate.h>

#include <chrono>
#include <cmath>

namespace celeryroute {

namespace {

constexpr Duration DecayTime = std::chrono::seconds(3);

} // namespace

void DemandRate::add(double tokens, TimePoint now)
{
    m_rate = value(now) + tokens / toSeconds(DecayTime);
    m_updated = now;
}

double DemandRate::value(TimePoint now) const
{
    if (now <= m_updated) {
        return m_rate;
    }
    return m_rate * std::exp(-toSeconds(now - m_updated) / toSeconds(DecayTime));
}

} // namespace celeryroute
