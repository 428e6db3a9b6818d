#include <celeryroute/detail/placement/decayingmean.h>

#include <algorithm>

namespace celeryroute {

DecayingMean::DecayingMean(double weight, Duration memory)
    : DecayingMean(weight, weight, memory)
{}

DecayingMean::DecayingMean(double rise, double fall, Duration memory)
    : m_rise(rise)
    , m_fall(fall)
    , m_memory(memory)
{}

void DecayingMean::add(double value, double prior, TimePoint now)
{
    const double before = this->value(prior, now);
    m_mean = before + (value > before ? m_rise : m_fall) * (value - before);
    m_seen = true;
    m_last = now;
}

double DecayingMean::value(double prior, TimePoint now) const
{
    if (!m_seen) {
        return prior;
    }
    const double age = toSeconds(now - m_last) / toSeconds(m_memory);
    return prior + (m_mean - prior) * std::clamp(1 - age, 0.0, 1.0);
}

} // namespace celeryroute
