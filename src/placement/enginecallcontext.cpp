#include <celeryroute/detail/placement/enginecallcontext.h>

#include <celeryroute/detail/placement/itemkey.h>

namespace celeryroute {

namespace {

constexpr double DefaultLatencyGoal = 1; // Seconds; for calls without a latency goal.

} // namespace

EngineCallContext::EngineCallContext(const EngineCall &engineCall,
                                     TargetPool &targetPool,
                                     const EngineModel &engineModel,
                                     TimePoint decisionTime)
    : call(engineCall)
    , pool(targetPool)
    , model(engineModel)
    , now(decisionTime)
    , item(itemKey(engineCall.model, engineCall.adapter))
    , chain(prefixChain(engineCall))
    , cachedPrefix(targetPool.prefixes, chain)
    , remaining(toSeconds(engineCall.remaining))
    , latencyGoal(engineCall.targetLatency > Duration::zero() ? toSeconds(engineCall.targetLatency)
                                                              : DefaultLatencyGoal)
{}

} // namespace celeryroute
