#pragma once

#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/prefixguess.h>
#include <celeryroute/detail/placement/targetpool.h>

#include <string>

namespace celeryroute {

/// A call to an engine with what is worked out once for all targets.
struct EngineAsk {
    EngineAsk(const EngineCall &asked, TargetPool &itsPool, const EngineModel &itsModel, TimePoint at);

    const EngineCall &call;
    TargetPool &pool;
    const EngineModel &model;
    TimePoint now;
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    PrefixChain chain;
    PrefixGuess guess;
    double remaining = 0; ///< Seconds.
    double aim = 0; ///< Seconds to the first event.
};

} // namespace celeryroute
