#pragma once

#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/detail/node/nodesettings.h>
#include <celeryroute/detail/node/platformtranslation.h>
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <cstdint>
#include <unistd.h>

namespace celeryroute {

/// @brief State that every process has, whatever its role.
struct NodeCore {
    /// @param logFile file descriptor that the log is written to
    NodeCore(EventLoop &eventLoop,
             NodeSettings nodeSettings,
             const PlatformTranslation &platform,
             int logFile = STDOUT_FILENO);

    EventLoop &loop;
    NodeSettings settings;
    const PlatformTranslation &translation;
    std::uint64_t incarnation; ///< Number of this run; higher for each later start.
    std::uint64_t seed; ///< Seed of random numbers; differs between hosts.
    const TimePoint started;
    DecisionLog log;
    ServingMetrics metrics;
};

} // namespace celeryroute
