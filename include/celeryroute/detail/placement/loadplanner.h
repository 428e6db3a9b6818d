#pragma once

#include <celeryroute/detail/placement/targetbook.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Where a target loads a model from, the fastest first.
enum class CopyPlace {
    Memory,
    Disk,
    Store,
};

/// The target where a model is being loaded or should be loaded.
struct LoadPlan {
    std::string target;
    double ready = 0; ///< Seconds until the model is resident.
    double cost = 0; ///< Expected number of other calls that miss their latency goal because of the load.
    double wait = 0; ///< Seconds that calls wait at the target now.
    CopyPlace source = CopyPlace::Store;
    bool underWay = false; ///< The model is already being loaded or was requested.
    bool operator==(const LoadPlan &) const = default;
};

/// Conditions of a load.
struct LoadNeed {
    const std::vector<std::string> *excluded = nullptr; ///< Targets that must not get the waiting call.
    double within = 0; ///< Seconds until the caller gives up.
    double aim = 1; ///< Seconds in which the first event is wanted.
    bool spare = false; ///< The model is resident elsewhere. The weight store is used only if no target has a copy.
};

/// Picks the target that should load a model. Entries with the same knowledge pick the same target.
class LoadPlanner
{
public:
    explicit LoadPlanner(TargetBook &book);

    /// @brief The load under way, if there is one, else the best new load; empty if no target can load @p model.
    std::optional<LoadPlan> plan(TargetPool &pool, const EngineModel &model, const LoadNeed &need, TimePoint now);
    /// @brief Records that the target of @p plan is requested to load @p model.
    /// @return Whether the request must be sent to the agent now, for the first time or again.
    bool noteAsked(const TargetPool &pool, const EngineModel &model, const LoadPlan &plan, TimePoint now);

private:
    struct Asked {
        std::string target;
        TimePoint at;
        TimePoint ready;
        TimePoint until;
        TimePoint told;
    };
    struct Offer;

    std::optional<LoadPlan>
    underWay(const TargetPool &pool, const std::string &model, const LoadNeed &need, TimePoint now);
    std::optional<Offer>
    offer(const TargetPool &pool, const EngineModel &model, KnownTarget &target, TimePoint now) const;
    std::optional<Offer> best(const TargetPool &pool,
                              const EngineModel &model,
                              const TargetRing &ring,
                              const LoadNeed &need,
                              bool fromStore,
                              TimePoint now);
    void forgetAsked(const std::string &target, const std::string &key);
    double busyFor(const TargetPool &pool, const KnownTarget &target, TimePoint now) const;
    double
    evictionCost(const TargetPool &pool, const EngineModel &model, const KnownTarget &target, TimePoint now) const;
    double lossCost(const TargetPool &pool, const std::string &model, const KnownTarget &target, TimePoint now) const;

    TargetBook &m_book;
    std::unordered_map<std::string, Asked> m_asked; ///< By pool and model.
    std::unordered_map<std::string, std::vector<std::string>> m_askedOf; ///< Keys of the requested loads, by target.
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
