#pragma once

#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/detail/node/nodesettings.h>
#include <celeryroute/detail/node/platformtranslation.h>
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <cstdint>

namespace celeryroute {

/// What both roles are made of.
struct NodeCore {
    NodeCore(EventLoop &eventLoop, NodeSettings nodeSettings, const PlatformTranslation &platform);

    EventLoop &loop;
    NodeSettings settings;
    const PlatformTranslation &translation;
    std::uint64_t incarnation; ///< Of this process.
    std::uint64_t seed; ///< Differs between hosts.
    DecisionLog log;
    ServingMetrics metrics;
};

} // namespace celeryroute
