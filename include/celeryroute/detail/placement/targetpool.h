#pragma once

#include <celeryroute/detail/placement/enginespeed.h>
#include <celeryroute/detail/placement/prefixmemory.h>
#include <celeryroute/detail/placement/prioritydelays.h>
#include <celeryroute/detail/placement/relaxingmean.h>
#include <celeryroute/detail/placement/targetring.h>
#include <celeryroute/detail/placement/trafficmeter.h>
#include <celeryroute/detail/placement/urgencyload.h>
#include <celeryroute/detail/serving/enginespec.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace celeryroute {

/// Seconds until a call's prompt is read and until its first event.
struct ExpectedStart {
    double wait = 0;
    double total = 0;
    bool operator==(const ExpectedStart &) const = default;
};

/// The targets of one pool, by what they hold, and what was learned of them together.
struct TargetPool {
    TargetPool();

    std::string name;
    std::optional<EngineSpec> engine; ///< Set by declare().
    TargetRing open; ///< That may get new calls.
    std::unordered_map<std::string, TargetRing> holders; ///< By resident model.
    std::unordered_map<std::string, TargetRing> loading; ///< By item.
    std::unordered_map<std::string, TargetRing> copies; ///< By model with a local copy.
    RelaxingMean latency; ///< Seconds of a plain answer.
    RelaxingMean failures; ///< Failed share of all answers.
    PriorityDelays delays; ///< Of first events.
    RelaxingMean duration; ///< Seconds from sending to the end of a call.
    RelaxingMean uncached; ///< Prompt tokens that a call has to read.
    RelaxingMean tokens; ///< Cache tokens of a call.
    UrgencyLoad urgency; ///< Recent calls by priority.
    UrgencyLoad waitingTokens; ///< Of this entry's calls at all targets, still to be read.
    std::uint32_t waiting = 0; ///< This entry's calls at all targets without a first event yet.
    EngineSpeed speed;
    TrafficMeter traffic;
    PrefixMemory prefixes;

    /// @brief Takes in what the desired state says of the pool's engines.
    void declare(const std::optional<EngineSpec> &spec);
    /// @brief The model called @p model of the engines, or null. Its cost does not grow with their number.
    const EngineModel *model(const std::string &model) const;
    /// @brief Slots of @p target.
    double slotsOf(const KnownTarget &target) const;
    /// @brief When a call with @p uncached tokens to read should have its first event at @p target,
    /// were all targets alike and no more urgent calls to come.
    ExpectedStart
    expectedStart(const KnownTarget &target, std::uint64_t uncached, std::uint32_t priority, TimePoint now) const;
    /// @brief Prompt tokens that @p target has to read before a call of @p priority.
    double tokensAhead(const KnownTarget &target, std::uint32_t priority, TimePoint now) const;
    /// @brief Targets that hold @p model, or null.
    const TargetRing *holdersOf(const std::string &model) const;
    const TargetRing *loadingOf(const std::string &item) const;
    const TargetRing *copiesOf(const std::string &model) const;

private:
    std::unordered_map<std::string, std::size_t> m_models; ///< Place in the engines' list, by name.
};

} // namespace celeryroute
