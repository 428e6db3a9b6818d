#include <celeryroute/detail/residency/itemdemand.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

// Minimum number of uses: an item without recent uses still costs its load time when it is needed again.
constexpr double BaseUses = 0.01;

double decay(Duration elapsed)
{
    const double seconds = std::max(0.0, toSeconds(elapsed));
    return std::exp2(-seconds / toSeconds(UseHalfLife));
}

} // namespace

ItemDemand recordUse(ItemDemand demand, TimePoint now)
{
    demand.recentUses = demand.recentUses * decay(now - demand.lastUse) + 1;
    demand.lastUse = now;
    return demand;
}

double evictionCost(const ItemDemand &demand, std::uint32_t memoryMb, TimePoint now)
{
    const double uses = demand.recentUses * decay(now - demand.lastUse) + BaseUses;
    return uses * toSeconds(demand.loadTime) / std::max<std::uint32_t>(1, memoryMb);
}

bool isMoreUrgent(const LoadDemand &left, const LoadDemand &right)
{
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    return left.deadline < right.deadline;
}

} // namespace celeryroute
