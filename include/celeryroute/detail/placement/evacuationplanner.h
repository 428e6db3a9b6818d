#pragma once

#include <celeryroute/detail/placement/targetpool.h>

#include <string>
#include <vector>

namespace celeryroute {

/// Models that are in use and that only targets of evacuated failure domains hold.
///
/// Load answered: calls for the models of a third of the targets arrive while these may get none. The models are loaded
/// elsewhere before the first call has to wait for them.
class EvacuationPlanner
{
public:
    /// Loads that one entry requests at once. The weight store and the targets' disks serve few loads at a time.
    static constexpr std::size_t MaxLoads = 16;

    /// @brief The models to load elsewhere, at most MaxLoads: those that are wanted fastest first, then the most
    /// called.
    /// @param evacuated models that targets of evacuated domains hold
    static std::vector<std::string>
    modelsToLoad(const TargetPool &pool, const std::vector<std::string> &evacuated, TimePoint now);
};

} // namespace celeryroute
