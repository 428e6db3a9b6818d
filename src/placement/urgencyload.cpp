#include <celeryroute/detail/placement/urgencyload.h>

#include <algorithm>
#include <numeric>

namespace celeryroute {

void UrgencyLoad::add(std::uint32_t priority, double amount)
{
    double &sum = m_amounts[std::min<std::size_t>(priority, Ranks - 1)];
    sum = std::max(0.0, sum + amount);
}

void UrgencyLoad::fade(double factor)
{
    for (double &amount : m_amounts) {
        amount *= factor;
    }
}

double UrgencyLoad::upTo(std::uint32_t priority) const
{
    const auto ranks = static_cast<std::ptrdiff_t>(std::min<std::size_t>(priority + 1UL, Ranks));
    return std::accumulate(m_amounts.begin(), m_amounts.begin() + ranks, 0.0);
}

double UrgencyLoad::total() const
{
    return upTo(Ranks - 1);
}

} // namespace celeryroute
