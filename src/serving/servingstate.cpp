#include <celeryroute/detail/serving/servingstate.h>

#include <algorithm>

namespace celeryroute {

const EngineModel *EngineSpec::model(const std::string &name) const
{
    const auto found = std::find_if(models.begin(), models.end(), [&name](const EngineModel &model) {
        return model.name == name;
    });
    return found == models.end() ? nullptr : &*found;
}

const ServingPool *ServingState::pool(const std::string &name) const
{
    const auto found = std::find_if(pools.begin(), pools.end(), [&name](const ServingPool &pool) {
        return pool.name == name;
    });
    return found == pools.end() ? nullptr : &*found;
}

} // namespace celeryroute
