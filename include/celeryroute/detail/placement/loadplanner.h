#pragma once

#include <celeryroute/detail/placement/targettable.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Where a target loads a model from, the fastest first.
enum class CopySource {
    Memory,
    Disk,
    Store,
};

/// The target where a model is being loaded or should be loaded.
struct LoadPlan {
    std::string target;
    double readySeconds = 0; ///< Time until the model is resident.
    double addedSeconds = 0; ///< Part of readySeconds that does not pass with the earlier loads of the target.
    double cost = 0; ///< Expected number of other calls that miss their latency goal because of the load.
    double queueDelay = 0; ///< Seconds that calls wait at the target now.
    CopySource source = CopySource::Store;
    bool isUnderWay = false; ///< The model is already being loaded or was requested.
    bool operator==(const LoadPlan &) const = default;
};

/// Conditions of a load.
struct LoadConditions {
    const std::vector<std::string> *excluded = nullptr; ///< Targets that must not get the waiting call.
    double remaining = 0; ///< Seconds until the caller gives up.
    double latencyGoal = 1; ///< Seconds in which the first event is wanted.
    /// The model is resident elsewhere. The weight store is used only if no target has a copy.
    bool isExtraReplica = false;
};

/// Picks the target that should load a model. Entries with the same knowledge pick the same target.
class LoadPlanner
{
public:
    explicit LoadPlanner(TargetTable &table);

    /// @brief The load under way, if there is one, else the best new load; empty if no target can load @p model.
    std::optional<LoadPlan>
    plan(TargetPool &pool, const EngineModel &model, const LoadConditions &conditions, TimePoint now);
    /// @brief Records that the target of @p plan is requested to load @p model.
    /// @return Whether the request must be sent to the agent now, for the first time or again.
    bool noteRequested(const TargetPool &pool, const EngineModel &model, const LoadPlan &plan, TimePoint now);

private:
    struct RequestedLoad {
        std::string target;
        Duration added; ///< Time that the load takes beyond the earlier loads of the target.
        TimePoint ready; ///< Expected end of the load.
        TimePoint expires; ///< The request is given up then.
        TimePoint lastSent; ///< Last time the request was sent to the agent.
    };
    struct Candidate;

    std::optional<LoadPlan>
    findUnderWay(const TargetPool &pool, const std::string &model, const LoadConditions &conditions, TimePoint now);
    std::optional<Candidate>
    assess(const TargetPool &pool, const EngineModel &model, KnownTarget &target, TimePoint now) const;
    std::optional<Candidate> bestCandidate(const TargetPool &pool,
                                           const EngineModel &model,
                                           const TargetRing &ring,
                                           const LoadConditions &conditions,
                                           bool fromStore,
                                           TimePoint now);
    void eraseRequest(const std::string &target, const std::string &key);
    double busySeconds(const TargetPool &pool, const KnownTarget &target, TimePoint now) const;
    double
    evictionCost(const TargetPool &pool, const EngineModel &model, const KnownTarget &target, TimePoint now) const;
    double
    evictionLateCalls(const TargetPool &pool, const std::string &model, const KnownTarget &target, TimePoint now) const;

    TargetTable &m_table;
    std::unordered_map<std::string, RequestedLoad> m_requested; ///< By pool and model.
    /// Keys of the requested loads, by target.
    std::unordered_map<std::string, std::vector<std::string>> m_requestedByTarget;
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
