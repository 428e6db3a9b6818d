#include <celeryroute/detail/placement/relaxingmean.h>

#include <algorithm>

namespace celeryroute {

RelaxingMean::RelaxingMean(double weight, Duration memory)
    : m_weight(weight)
    , m_memory(memory)
{}

void RelaxingMean::add(double value, double prior, TimePoint now)
{
    const double before = this->value(prior, now);
    m_mean = before + m_weight * (value - before);
    m_seen = true;
    m_last = now;
}

double RelaxingMean::value(double prior, TimePoint now) const
{
    if (!m_seen) {
        return prior;
    }
    const double age = toSeconds(now - m_last) / toSeconds(m_memory);
    return prior + (m_mean - prior) * std::clamp(1 - age, 0.0, 1.0);
}

} // namespace celeryroute
