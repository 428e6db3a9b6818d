#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/transport/curvekeys.h>
#include <celeryroute/time.h>

#include <memory>
#include <vector>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// The answer of one process; null when none came in time.
struct FleetAnswer {
    HostEntry host;
    std::shared_ptr<const proto::Envelope> answer;
};

/// @brief Asks the process on each of @p hosts @p question and waits for the answers, @p timeout at most.
std::vector<FleetAnswer>
askFleet(const std::vector<HostEntry> &hosts, const proto::Envelope &question, const CurveKeys &keys, Duration timeout);

} // namespace celeryroute
