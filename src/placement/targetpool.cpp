#include <celeryroute/detail/placement/targetpool.h>

#include <celeryroute/detail/placement/knowntarget.h>

#include <algorithm>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr double ObservationWeight = 0.05;
constexpr Duration PoolMemory = 60s;
constexpr std::size_t PrefixCapacity = 32768;

const TargetRing *lookUp(const std::unordered_map<std::string, TargetRing> &rings, const std::string &key)
{
    const auto ring = rings.find(key);
    return ring == rings.end() || ring->second.empty() ? nullptr : &ring->second;
}

} // namespace

TargetPool::TargetPool()
    : latency(ObservationWeight, PoolMemory)
    , failures(ObservationWeight, PoolMemory)
    , duration(ObservationWeight, PoolMemory)
    , uncached(ObservationWeight, PoolMemory)
    , tokens(ObservationWeight, PoolMemory)
    , prefixes(PrefixCapacity)
{}

void TargetPool::setEngineSpec(const std::optional<EngineSpec> &spec)
{
    engine = spec;
    m_models.clear();
    for (std::size_t i = 0; engine && i < engine->models.size(); ++i) {
        m_models.emplace(engine->models[i].name, i);
    }
}

const EngineModel *TargetPool::model(const std::string &model) const
{
    const auto known = m_models.find(model);
    return known == m_models.end() ? nullptr : &engine->models[known->second];
}

double TargetPool::slotsOf(const KnownTarget &target) const
{
    return std::max(1U, target.slots > 0 || !engine ? target.slots : engine->slots);
}

// The prefill slows down with the number of running calls.
PredictedDelays TargetPool::predictDelays(const KnownTarget &target,
                                          std::uint64_t uncached,
                                          std::uint32_t priority,
                                          TimePoint now) const
{
    const double slowdown = 1 + target.running(now) / slotsOf(target);
    const double wait = speed.prefill(tokensAhead(target, priority, now)) * slowdown;
    return {wait, wait + speed.firstEvent(uncached) * slowdown};
}

// The sizes and priorities of the calls of other entries are unknown, so they are assumed to be distributed like those
// of this entry.
double TargetPool::tokensAhead(const KnownTarget &target, std::uint32_t priority, TimePoint now) const
{
    const double foreign = std::max(0.0, target.waiting(now) - target.own.waiting);
    if (foreign == 0) {
        return target.own.waitingTokens.upTo(priority);
    }
    const double all = priorityMix.total();
    const double meanTokens = all > 0 ? uncached.value(0, now) * priorityMix.upTo(priority) / all : 0;
    const double tokensPerCall = waiting > 0 ? waitingTokens.upTo(priority) / waiting : meanTokens;
    return target.own.waitingTokens.upTo(priority) + foreign * tokensPerCall;
}

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
