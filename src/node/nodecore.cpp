#include <celeryroute/detail/node/nodecore.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/net/clock.h>

namespace celeryroute {

namespace {

// Unix time in milliseconds times 1024, plus a hash of the name. A later start gets a higher number, and
// processes that start in the same millisecond rarely get the same one.
std::uint64_t incarnationNow(const std::string &name)
{
    constexpr std::uint64_t NumbersPerMs = 1024;
    return static_cast<std::uint64_t>(wallClockMs()) * NumbersPerMs + stableHash(name) % NumbersPerMs;
}

} // namespace

NodeCore::NodeCore(EventLoop &eventLoop, NodeSettings nodeSettings, const PlatformTranslation &platform, int logFile)
    : loop(eventLoop)
    , settings(std::move(nodeSettings))
    , translation(platform)
    , incarnation(incarnationNow(settings.name))
    , seed(stableHash(settings.name + std::to_string(incarnation)))
    , started(loop.now())
    , log({settings.name, settings.role == NodeRole::Entry ? "entry" : "agent", incarnation}, logFile)
{
    loop.atTurnEnd([this] { log.flush(); });
}

} // namespace celeryroute
