#include <celeryroute/detail/telemetry/linebudget.h>

#include <algorithm>

namespace celeryroute {

bool LineBudget::tryTake(const LineLimit &limit, TimePoint now)
{
    const double refilled = toSeconds(now - m_updated) * limit.perSecond;
    m_spent = std::max(0.0, m_spent - std::max(0.0, refilled));
    m_updated = std::max(m_updated, now);
    if (m_spent + 1 > limit.burst) {
        ++m_leftOut;
        return false;
    }
    m_spent += 1;
    return true;
}

} // namespace celeryroute
