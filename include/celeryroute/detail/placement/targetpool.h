#pragma once

#include <celeryroute/detail/placement/decayingmean.h>
#include <celeryroute/detail/placement/enginespeed.h>
#include <celeryroute/detail/placement/prefixhistory.h>
#include <celeryroute/detail/placement/prioritydelays.h>
#include <celeryroute/detail/placement/priorityload.h>
#include <celeryroute/detail/placement/targetring.h>
#include <celeryroute/detail/placement/trafficmeter.h>
#include <celeryroute/detail/serving/enginespec.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Predicted delays of a call.
struct PredictedDelays {
    double queueDelay = 0; ///< Seconds until the prefill begins.
    double firstEventDelay = 0; ///< Seconds to the first event.
    bool operator==(const PredictedDelays &) const = default;
};

/// The targets of one pool, indexed by what they hold, and the statistics that they share.
struct TargetPool {
    TargetPool();

    std::string name;
    Duration coldStart{}; ///< See ServingPool.
    double coldPerSecond = 0; ///< See ServingPool.
    int registered = 0; ///< Targets with a record in the registry.
    int evacuated = 0; ///< Those of them that are in evacuated domains.
    std::optional<EngineSpec> engine; ///< Set by setEngineSpec().
    TargetRing accepting; ///< Targets that may get new calls.
    std::unordered_map<std::string, TargetRing> holders; ///< Targets by resident model.
    std::unordered_map<std::string, TargetRing> loading; ///< Targets by item that is being loaded.
    std::unordered_map<std::string, TargetRing>
        copies; ///< Targets by model of which they have a copy in memory or on disk.
    DecayingMean latency; ///< Seconds of an answer of a plain service.
    DecayingMean failures; ///< Failure rate of all answers.
    PriorityDelays delays; ///< Delays of first events.
    DecayingMean duration; ///< Seconds from sending to the end of a call.
    DecayingMean uncached; ///< Uncached prompt tokens of a call.
    DecayingMean tokens; ///< KV cache tokens that a call occupies at its end.
    PriorityLoad priorityMix; ///< Recent calls by priority, with exponential decay.
    PriorityLoad waitingTokens; ///< Prompt tokens of this entry's calls that the targets have still to prefill.
    std::uint32_t waiting = 0; ///< This entry's calls at the targets without a first event yet.
    EngineSpeed speed;
    TrafficMeter traffic;
    PrefixHistory prefixes;

    /// @brief Takes over the engines of the pool from the desired state.
    void setEngineSpec(const std::optional<EngineSpec> &spec);
    /// @brief The model with this name, or null. The time of the look-up does not grow with the number of models.
    const EngineModel *model(const std::string &model) const;
    /// @brief Slots of @p target, or those that the desired state gives if it has reported none; at least 1.
    double slotsOf(const KnownTarget &target) const;
    /// @brief Predicts the delays of a call with @p uncached prompt tokens at @p target. Differences in speed between
    /// targets and more urgent calls that may still arrive are left out.
    PredictedDelays
    predictDelays(const KnownTarget &target, std::uint64_t uncached, std::uint32_t priority, TimePoint now) const;
    /// @brief Prompt tokens that @p target has to prefill before a call of @p priority.
    double tokensAhead(const KnownTarget &target, std::uint32_t priority, TimePoint now) const;
    /// @brief Targets that hold @p model; null if there are none.
    const TargetRing *holdersOf(const std::string &model) const;
    /// @brief Targets that are loading @p item; null if there are none.
    const TargetRing *loadingOf(const std::string &item) const;
    /// @brief Targets with a local copy of @p model; null if there are none.
    const TargetRing *copiesOf(const std::string &model) const;

private:
    std::unordered_map<std::string, std::size_t> m_models; ///< Index in `engine->models`, by name.
};

} // namespace celeryroute
