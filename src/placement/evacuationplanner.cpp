#include <celeryroute/detail/placement/evacuationplanner.h>

#include <algorithm>
#include <tuple>

namespace celeryroute {

namespace {

/// Calls a second below which a model is loaded when it is called. Two calls in the memory of the meter.
constexpr double MinRate = 2.0 / 30;

struct ModelInUse {
    std::string name;
    double latencyGoal = 0;
    double rate = 0;

    bool operator<(const ModelInUse &other) const
    {
        return std::tie(latencyGoal, other.rate, name) < std::tie(other.latencyGoal, rate, other.name);
    }
};

} // namespace

std::vector<std::string>
EvacuationPlanner::modelsToLoad(const TargetPool &pool, const std::vector<std::string> &evacuated, TimePoint now)
{
    std::vector<ModelInUse> inUse;
    for (const std::string &model : evacuated) {
        const double rate = pool.traffic.rate(model, now);
        if (pool.holdersOf(model) == nullptr && pool.loadingOf(model) == nullptr && pool.model(model) != nullptr
            && rate >= MinRate) {
            inUse.push_back({model, pool.traffic.latencyGoal(model, now), rate});
        }
    }
    std::sort(inUse.begin(), inUse.end());
    inUse.resize(std::min(inUse.size(), MaxLoads));
    std::vector<std::string> models;
    models.reserve(inUse.size());
    for (ModelInUse &model : inUse) {
        models.push_back(std::move(model.name));
    }
    return models;
}

} // namespace celeryroute
