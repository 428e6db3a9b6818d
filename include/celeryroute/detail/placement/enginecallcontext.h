#pragma once

#include <celeryroute/detail/placement/cachedprefixestimate.h>
#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/targetpool.h>

#include <string>

namespace celeryroute {

/// A call to an engine, with the values that are computed once and used for all targets.
struct EngineCallContext {
    EngineCallContext(const EngineCall &engineCall,
                      TargetPool &targetPool,
                      const EngineModel &engineModel,
                      TimePoint decisionTime);

    const EngineCall &call;
    TargetPool &pool;
    const EngineModel &model;
    TimePoint now;
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    PrefixChain chain;
    CachedPrefixEstimate cachedPrefix;
    double remaining = 0; ///< Seconds until the caller gives up.
    double latencyGoal = 0; ///< Seconds in which the first event is wanted.
};

} // namespace celeryroute
