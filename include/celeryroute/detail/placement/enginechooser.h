#pragma once

#include <celeryroute/detail/placement/enginecallcontext.h>
#include <celeryroute/detail/placement/holderfinder.h>
#include <celeryroute/detail/placement/loadplanner.h>
#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/detail/placement/verdicts.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace celeryroute {

/// Chooses targets for calls to model engines, and the targets that should load missing models and adapters.
class EngineChooser
{
public:
    EngineChooser(TargetTable &table, std::uint64_t seed);

    /// @brief Decides what to do with @p call now, from the current state of the targets.
    EngineDecision choose(const EngineCall &call, TimePoint now);

    /// @brief The loads to request now so that the models in use of evacuated targets have holders elsewhere.
    std::vector<LoadRequest> replaceEvacuated(TimePoint now);

private:
    EngineDecision decideWithRoom(const EngineCallContext &context, const Holder &best);
    EngineVerdict waitForAdapter(const EngineCallContext &context, const Holder &best) const;
    EngineDecision decideWithoutRoom(const EngineCallContext &context, const Holder &best);
    EngineDecision decideWithoutHolder(const EngineCallContext &context, const Holder &bad);
    bool cannotMeetGoal(const EngineCallContext &context, const Holder &best) const;
    bool isOverloaded(const EngineCallContext &context) const;
    double maxHoldTime(const EngineCallContext &context, const Holder &best) const;
    double expectedHoldTime(const EngineCallContext &context, const Holder &best) const;
    std::optional<LoadPlan> planReplica(const EngineCallContext &context, const Holder &best);
    EngineDecision decideWithUnhealthyHolder(const EngineCallContext &context, const Holder &bad);
    std::optional<LoadRequest> requestReplica(const EngineCallContext &context, const LoadPlan &plan);
    EngineDecision waitForModel(const EngineCallContext &context, const LoadPlan &plan);

    TargetTable &m_table;
    HolderFinder m_finder;
    LoadPlanner m_planner;
};

} // namespace celeryroute
