#pragma once

#include <celeryroute/detail/placement/engineask.h>
#include <celeryroute/detail/placement/holderfinder.h>
#include <celeryroute/detail/placement/loadplanner.h>
#include <celeryroute/detail/placement/targetbook.h>
#include <celeryroute/detail/placement/verdicts.h>

#include <cstdint>
#include <optional>

namespace celeryroute {

/// Chooses targets for calls to model engines, and the targets that should load missing models and adapters.
class EngineChooser
{
public:
    EngineChooser(TargetBook &book, std::uint64_t seed);

    /// @brief Decides what to do with @p call now, from the current state of the targets.
    EngineDecision choose(const EngineCall &call, TimePoint now);

private:
    EngineDecision send(const EngineAsk &ask, const Holder &best);
    EngineVerdict waitForAdapter(const EngineAsk &ask, const Holder &best) const;
    EngineDecision withoutRoom(const EngineAsk &ask, const Holder &best);
    EngineDecision withoutHolder(const EngineAsk &ask, const Holder &bad);
    bool isHopeless(const EngineAsk &ask, const Holder &best) const;
    bool overloaded(const EngineAsk &ask) const;
    double mostHeld(const EngineAsk &ask, const Holder &best) const;
    double heldFor(const EngineAsk &ask, const Holder &best) const;
    std::optional<LoadPlan> spare(const EngineAsk &ask, const Holder &best);
    EngineDecision lastResort(const EngineAsk &ask, const Holder &bad);
    std::optional<LoadWant> spareWant(const EngineAsk &ask, const LoadPlan &plan);
    EngineDecision waitFor(const EngineAsk &ask, const LoadPlan &plan);

    TargetBook &m_book;
    HolderFinder m_finder;
    LoadPlanner m_planner;
};

} // namespace celeryroute
