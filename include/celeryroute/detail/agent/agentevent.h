#pragma once

#include <string>

namespace celeryroute {

/// What happened at an agent, for the time line.
enum class AgentEventKind {
    Submitted,
    Refused,
    Dispatched,
    Resumed, ///< The call went on over a new connection.
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

/// One event; fields that do not apply are empty.
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

/// @brief The event's name in snake case, as in `load_ordered`.
std::string toString(AgentEventKind kind);

} // namespace celeryroute
