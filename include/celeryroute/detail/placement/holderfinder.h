#pragma once

#include <celeryroute/detail/placement/engineask.h>
#include <celeryroute/detail/placement/holder.h>
#include <celeryroute/detail/placement/targetbook.h>

#include <cstdint>
#include <vector>

namespace celeryroute {

/// Finds the best target that holds the model of a call.
class HolderFinder
{
public:
    HolderFinder(const TargetBook &book, std::uint64_t seed);

    /// @brief The best holder for a call; its target is null if no holder may get the call.
    Holder best(const EngineAsk &ask);
    /// @brief Whether a sample of the pool contains a target that is not ejected.
    bool anySound(const EngineAsk &ask);

private:
    Holder assess(const EngineAsk &ask, KnownTarget &target);
    Holder::Grade grade(const EngineAsk &ask, const KnownTarget &target);
    void estimateTime(const EngineAsk &ask, Holder &holder) const;
    void estimateRoom(const EngineAsk &ask, Holder &holder) const;
    double adapterCost(const EngineAsk &ask, const ResidentModel &resident, const KnownTarget &target) const;
    std::uint64_t random();

    const TargetBook &m_book;
    std::uint64_t m_random;
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
