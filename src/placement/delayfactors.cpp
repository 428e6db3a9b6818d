#include <celeryroute/detail/placement/delayfactors.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr double ObservationWeight = 0.1;
constexpr Duration Memory = 20s;
constexpr double LeastFactor = 0.2;
constexpr double MostFactor = 10;

RelaxingMean fresh()
{
    return {ObservationWeight, Memory};
}

} // namespace

DelayFactors::DelayFactors()
    : m_factors{fresh(), fresh(), fresh(), fresh(), fresh(), fresh(), fresh(), fresh(), fresh(), fresh()}
{}

void DelayFactors::add(std::uint32_t priority, double factor, TimePoint now)
{
    m_factors[std::min<std::size_t>(priority, Ranks - 1)].add(std::clamp(factor, LeastFactor, MostFactor), 1, now);
}

double DelayFactors::usual(std::uint32_t priority, TimePoint now) const
{
    return m_factors[std::min<std::size_t>(priority, Ranks - 1)].value(1, now);
}

} // namespace celeryroute
