#pragma once

#include <celeryroute/detail/placement/enginecallcontext.h>
#include <celeryroute/detail/placement/holder.h>
#include <celeryroute/detail/placement/targettable.h>

#include <cstdint>
#include <vector>

namespace celeryroute {

/// Finds the best target that holds the model of a call.
class HolderFinder
{
public:
    HolderFinder(const TargetTable &table, std::uint64_t seed);

    /// @brief The best holder for a call; its target is null if no holder may get the call.
    Holder best(const EngineCallContext &context);
    /// @brief Whether a sample of the pool contains a target that is not ejected.
    bool anyHealthy(const EngineCallContext &context);

private:
    Holder assess(const EngineCallContext &context, KnownTarget &target);
    Holder::Grade grade(const EngineCallContext &context, const KnownTarget &target);
    void estimateTime(const EngineCallContext &context, Holder &holder) const;
    void estimateRoom(const EngineCallContext &context, Holder &holder) const;
    double
    adapterCost(const EngineCallContext &context, const ResidentModel &resident, const KnownTarget &target) const;
    std::uint64_t random();

    const TargetTable &m_table;
    std::uint64_t m_random;
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
