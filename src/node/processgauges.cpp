#include <celeryroute/detail/node/processgauges.h>

namespace celeryroute {

ServingGauges processGauges(const NodeCore &core)
{
    ServingGauges gauges;
    gauges.logLinesWritten = core.log.written();
    gauges.logLinesLeftOut = core.log.leftOut();
    gauges.logLinesDropped = core.log.dropped();
    gauges.usage = readProcessUsage();
    return gauges;
}

std::optional<Duration> ageOf(const TopicFollower &follower, TimePoint now)
{
    const auto confirmed = follower.confirmedAt();
    return confirmed ? std::optional(now - *confirmed) : std::nullopt;
}

} // namespace celeryroute
