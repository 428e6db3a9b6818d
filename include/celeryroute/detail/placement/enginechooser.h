#pragma once

#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/loadplanner.h>
#include <celeryroute/detail/placement/targetbook.h>
#include <celeryroute/detail/placement/verdicts.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Chooses targets for calls to model engines, and what should be loaded where.
class EngineChooser
{
public:
    EngineChooser(TargetBook &book, std::uint64_t seed);

    EngineDecision choose(const EngineCall &call, TimePoint now);

private:
    struct Ask;
    struct Candidate {
        enum Grade {
            Sound,
            Doubtful, ///< Fails a part of its calls; not its turn now.
            Bad, ///< Cannot be reached, or fails most of its calls.
        };

        KnownTarget *target = nullptr;
        Grade grade = Bad;
        bool room = false;
        double wait = 0; ///< Seconds before the prompt is read.
        double total = 0; ///< Seconds to the first event.
        double cost = 0; ///< What they are compared by.
        double roomIn = 0; ///< Seconds until there is room.

        bool betterThan(const Candidate &other) const;
    };

    Candidate bestHolder(Ask &ask);
    Candidate assess(Ask &ask, KnownTarget &target);
    Candidate::Grade grade(const Ask &ask, const KnownTarget &target);
    void estimate(const Ask &ask, const KnownTarget &target, Candidate &candidate) const;
    double adapterCost(const Ask &ask, const ResidentModel &resident, const KnownTarget &target) const;
    EngineDecision send(const Ask &ask, const Candidate &best);
    EngineDecision withoutRoom(const Ask &ask, const Candidate &best);
    EngineDecision withoutHolder(const Ask &ask, const Candidate &bad);
    std::optional<LoadPlan> spare(const Ask &ask);
    double crowding(const Ask &ask, const Candidate &best);
    double queueWait(const Ask &ask) const;
    LoadWant wantOf(const Ask &ask, const LoadPlan &plan);
    EngineDecision waitFor(const Ask &ask, const LoadPlan &plan);
    std::uint64_t random();

    TargetBook &m_book;
    LoadPlanner m_planner;
    std::unordered_map<std::string, RelaxingMean> m_crowding; ///< Seconds, by pool and model.
    std::uint64_t m_random;
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
