#include <celeryroute/detail/placement/priorityload.h>

#include <algorithm>
#include <numeric>

namespace celeryroute {

void PriorityLoad::add(std::uint32_t priority, double amount)
{
    double &sum = m_amounts[std::min<std::size_t>(priority, PriorityLevels - 1)];
    sum = std::max(0.0, sum + amount);
}

void PriorityLoad::scale(double factor)
{
    for (double &amount : m_amounts) {
        amount *= factor;
    }
}

double PriorityLoad::upTo(std::uint32_t priority) const
{
    const auto ranks = static_cast<std::ptrdiff_t>(std::min<std::size_t>(priority + 1UL, PriorityLevels));
    return std::accumulate(m_amounts.begin(), m_amounts.begin() + ranks, 0.0);
}

double PriorityLoad::total() const
{
    return upTo(PriorityLevels - 1);
}

} // namespace celeryroute
