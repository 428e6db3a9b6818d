#pragma once

#include <celeryroute/detail/placement/targetbook.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// Where a model would come from.
enum class CopyPlace {
    Memory,
    Disk,
    Store,
};

/// Where a model is being loaded or should be.
struct LoadPlan {
    std::string target;
    double ready = 0; ///< Seconds until it is there.
    double cost = 0; ///< Other calls that will come late for it.
    double wait = 0; ///< Seconds that calls wait there now.
    CopyPlace source = CopyPlace::Store;
    bool underWay = false; ///< Already loading or asked for.
    bool operator==(const LoadPlan &) const = default;
};

/// What a load is planned for.
struct LoadNeed {
    const std::vector<std::string> *excluded = nullptr; ///< Targets that the waiting call cannot use.
    double within = 0; ///< Seconds that are left.
    double aim = 1; ///< Seconds in which the call wants its first event.
    bool spare = false; ///< A further replica; from the weight store only without any copy.
};

/// Picks the target that should load a model, the same in all entries that see the same.
class LoadPlanner
{
public:
    explicit LoadPlanner(TargetBook &book);

    std::optional<LoadPlan> plan(TargetPool &pool, const EngineModel &model, const LoadNeed &need, TimePoint now);
    /// @brief The target of @p plan is being asked for @p model.
    /// @return whether its agent has to be told (again)
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
    std::unordered_map<std::string, std::vector<std::string>> m_askedOf; ///< Keys of the same, by target.
    std::vector<KnownTarget *> m_sample;
};

} // namespace celeryroute
