#include <celeryroute/detail/placement/prioritydelays.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr double FactorWeight = 0.1;
constexpr Duration FactorMemory = 20s;
constexpr double MinFactor = 0.2;
constexpr double MaxFactor = 10;
constexpr double LateWeight = 0.1;
constexpr Duration LateMemory = 5s;

} // namespace

PriorityDelays::Delays::Delays()
    : factor(FactorWeight, FactorMemory)
    , late(LateWeight, LateMemory)
{}

PriorityDelays::PriorityDelays() = default;

void PriorityDelays::add(std::uint32_t priority, double factor, bool late, TimePoint now)
{
    Delays &delays = m_delays[std::min<std::size_t>(priority, PriorityLevels - 1)];
    delays.factor.add(std::clamp(factor, MinFactor, MaxFactor), 1, now);
    delays.late.add(late ? 1 : 0, 0, now);
}

const PriorityDelays::Delays &PriorityDelays::delaysOf(std::uint32_t priority) const
{
    return m_delays[std::min<std::size_t>(priority, PriorityLevels - 1)];
}

double PriorityDelays::factor(std::uint32_t priority, TimePoint now) const
{
    return delaysOf(priority).factor.value(1, now);
}

double PriorityDelays::lateShare(std::uint32_t priority, TimePoint now) const
{
    return delaysOf(priority).late.value(0, now);
}

} // namespace celeryroute
