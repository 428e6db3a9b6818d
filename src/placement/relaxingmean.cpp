#include <celeryroute/detail/placement/relaxingmean.h>

#include <algorithm>

namespace celeryroute {

RelaxingMean::RelaxingMean(double weight, Duration memory)
    : RelaxingMean(weight, weight, memory)
{}

RelaxingMean::RelaxingMean(double rise, double fall, Duration memory)
    : m_rise(rise)
    , m_fall(fall)
    , m_memory(memory)
{}

void RelaxingMean::add(double value, double prior, TimePoint now)
{
    const double before = this->value(prior, now);
    m_mean = before + (value > before ? m_rise : m_fall) * (value - before);
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
