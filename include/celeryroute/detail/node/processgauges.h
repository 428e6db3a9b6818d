#pragma once

#include <celeryroute/detail/feed/topicfollower.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/telemetry/servinggauges.h>

#include <optional>
#include <string>

namespace celeryroute {

/// Where the metrics are read.
constexpr const char *MetricsPath = "/metrics";

/// @brief What the metrics tell of every process, whatever its role.
ServingGauges processGauges(const NodeCore &core);

/// @brief How old what @p follower knows is; nothing before it knows all.
std::optional<Duration> ageOf(const TopicFollower &follower, TimePoint now);

} // namespace celeryroute
