#include <celeryroute/detail/node/nodecore.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/net/clock.h>

namespace celeryroute {

NodeCore::NodeCore(EventLoop &eventLoop, NodeSettings nodeSettings, const PlatformTranslation &platform, int logFile)
    : loop(eventLoop)
    , settings(std::move(nodeSettings))
    , translation(platform)
    , incarnation(static_cast<std::uint64_t>(wallClockMs()))
    , seed(stableHash(settings.name + std::to_string(incarnation)))
    , started(loop.now())
    , log({settings.name, settings.role == NodeRole::Entry ? "entry" : "agent", incarnation}, logFile)
{
    loop.atTurnEnd([this] { log.flush(); });
}

} // namespace celeryroute
