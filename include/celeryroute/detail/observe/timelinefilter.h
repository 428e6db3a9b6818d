#pragma once

#include <celeryroute/detail/observe/timelineevent.h>

#include <cstddef>
#include <string>

namespace celeryroute {

/// Which events are wanted; empty fields match everything.
struct TimelineFilter {
    std::string requestId;
    std::string customer;
    std::string model;
    std::string host;
    std::size_t limit = 1000; ///< The newest ones when there are more.
    bool operator==(const TimelineFilter &) const = default;
};

bool matches(const TimelineFilter &filter, const TimelineEvent &event);

} // namespace celeryroute
