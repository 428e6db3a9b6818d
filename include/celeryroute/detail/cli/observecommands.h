#pragma once

#include <celeryroute/detail/observe/timelinefilter.h>
#include <celeryroute/detail/settings/startup.h>
#include <celeryroute/detail/transport/curvekeys.h>

#include <ostream>
#include <string>

namespace celeryroute {

/// What `celeryctl status` and `celeryctl timeline` were asked to show.
struct ObserveOptions {
    std::string hostsUrl;
    CurveKeys keys;
    Duration timeout = std::chrono::seconds(3);
    TimelineFilter filter;
    std::string format = "table"; ///< `table`, `json` or, for the time line, `trace`.
    bool operator==(const ObserveOptions &) const = default;
};

/// @brief Prints the state of every process in the host list. Refused when a process did not answer,
/// Unreachable when the host list did not.
ExitCode runStatus(const ObserveOptions &options, std::ostream &out, std::ostream &err);

/// @brief Prints the events of all processes, ordered by cause; exit codes as runStatus().
ExitCode runTimeline(const ObserveOptions &options, std::ostream &out, std::ostream &err);

} // namespace celeryroute
