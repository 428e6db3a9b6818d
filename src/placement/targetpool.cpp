#include <celeryroute/detail/placement/targetpool.h>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr double PoolWeightOfOne = 0.05;
constexpr Duration PoolMemory = 60s;
constexpr std::size_t PrefixCapacity = 32768;

const TargetRing *lookUp(const std::unordered_map<std::string, TargetRing> &rings, const std::string &key)
{
    const auto ring = rings.find(key);
    return ring == rings.end() || ring->second.empty() ? nullptr : &ring->second;
}

} // namespace

TargetPool::TargetPool()
    : latency(PoolWeightOfOne, PoolMemory)
    , failures(PoolWeightOfOne, PoolMemory)
    , slowness(PoolWeightOfOne, PoolMemory)
    , duration(PoolWeightOfOne, PoolMemory)
    , uncached(PoolWeightOfOne, PoolMemory)
    , tokens(PoolWeightOfOne, PoolMemory)
    , prefixes(PrefixCapacity)
{}

const TargetRing *TargetPool::holdersOf(const std::string &model) const
{
    return lookUp(holders, model);
}

const TargetRing *TargetPool::loadingOf(const std::string &item) const
{
    return lookUp(loading, item);
}

const TargetRing *TargetPool::copiesOf(const std::string &model) const
{
    return lookUp(copies, model);
}

} // namespace celeryroute
