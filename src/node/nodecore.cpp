#include <celeryroute/detail/node/nodecore.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/net/clock.h>

#include <unistd.h>

namespace celeryroute {

NodeCore::NodeCore(EventLoop &eventLoop, NodeSettings nodeSettings, const PlatformTranslation &platform)
    : loop(eventLoop)
    , settings(std::move(nodeSettings))
    , translation(platform)
    , incarnation(static_cast<std::uint64_t>(wallClockMs()))
    , seed(stableHash(settings.name + std::to_string(incarnation)))
    , log({settings.name, settings.role == NodeRole::Entry ? "entry" : "agent", incarnation}, STDOUT_FILENO)
{
    loop.atTurnEnd([this] { log.flush(); });
}

} // namespace celeryroute
