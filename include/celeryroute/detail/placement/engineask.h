#pragma once

#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/prefixguess.h>
#include <celeryroute/detail/placement/targetpool.h>

#include <string>

namespace celeryroute {

/// A call to an engine, with the values that are computed once and used for all targets.
struct EngineAsk {
    EngineAsk(const EngineCall &asked, TargetPool &itsPool, const EngineModel &itsModel, TimePoint at);

    const EngineCall &call;
    TargetPool &pool;
    const EngineModel &model;
    TimePoint now;
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    PrefixChain chain;
    PrefixGuess guess;
    double remaining = 0; ///< Seconds until the caller gives up.
    double aim = 0; ///< Seconds in which the first event is wanted.
};

} // namespace celeryroute
