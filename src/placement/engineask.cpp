#include <celeryroute/detail/placement/engineask.h>

#include <celeryroute/detail/placement/itemkey.h>

namespace celeryroute {

namespace {

constexpr double UnknownAim = 1; // Seconds; for calls without a latency goal.

} // namespace

EngineAsk::EngineAsk(const EngineCall &asked, TargetPool &itsPool, const EngineModel &itsModel, TimePoint at)
    : call(asked)
    , pool(itsPool)
    , model(itsModel)
    , now(at)
    , item(itemKey(asked.model, asked.adapter))
    , chain(prefixChain(asked))
    , guess(itsPool.prefixes, chain)
    , remaining(toSeconds(asked.remaining))
    , aim(asked.targetLatency > Duration::zero() ? toSeconds(asked.targetLatency) : UnknownAim)
{}

} // namespace celeryroute
