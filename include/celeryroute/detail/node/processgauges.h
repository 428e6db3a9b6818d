#pragma once

#include <celeryroute/detail/feed/topicfollower.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/telemetry/servinggauges.h>

#include <optional>
#include <string>

namespace celeryroute {

/// HTTP path of the metrics.
constexpr const char *MetricsPath = "/metrics";

/// @brief Returns the gauges that every process has, whatever its role.
ServingGauges processGauges(const NodeCore &core);

/// @brief Returns the age of the data that @p follower has; empty before it has read all of them.
std::optional<Duration> ageOf(const TopicFollower &follower, TimePoint now);

} // namespace celeryroute
