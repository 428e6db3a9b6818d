#pragma once

#include <string>

namespace celeryroute {

/// Kinds of events that an agent records in its timeline.
enum class AgentEventKind {
    Submitted,
    Refused,
    Dispatched,
    Resumed, ///< The call to the target continued over a new connection.
    Ended,
    Cancelled,
    LoadOrdered,
    UnloadOrdered,
    OrderEnded,
    TargetDown,
    TargetUp,
    CrashSuspected,
    GrantReleased,
    AuthorityProposed,
    Stopping,
};

/// One timeline event. Fields that do not apply are empty.
struct AgentEvent {
    AgentEventKind kind = AgentEventKind::Submitted;
    std::string requestId;
    std::string attemptId;
    std::string customer;
    std::string route;
    std::string model;
    std::string detail;
    bool operator==(const AgentEvent &) const = default;
};

/// @brief Returns the event's name in snake case, for example `load_ordered`.
std::string toString(AgentEventKind kind);

} // namespace celeryroute
