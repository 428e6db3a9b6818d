#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// @brief One thing that happened in one process; fields that do not apply are empty.
struct TimelineEvent {
    std::string kind; ///< Snake case, as in `request_admitted`.
    std::string requestId;
    std::string attemptId;
    std::string customer;
    std::string route;
    std::string model;
    std::string host; ///< Of the process, or of the target that the event is about.
    std::string detail;
    int code = 0; ///< ResultCode number.
    std::string instance; ///< Set by the ring: the process.
    std::uint64_t logicalTime = 0; ///< Set by the ring: Lamport clock; orders causes before effects.
    std::uint64_t sequence = 0; ///< Set by the ring: position within the process.
    std::int64_t wallTimeMs = 0; ///< Set by the ring: the host's calendar clock, which may be skewed.
    bool operator==(const TimelineEvent &) const = default;
};

/// @brief One line of JSON without a line end.
std::string toJsonLine(const TimelineEvent &event);

/// @brief The event of a @p text written by toJsonLine(); nothing for another text.
std::optional<TimelineEvent> timelineEventFromJson(const std::string &text);

} // namespace celeryroute
