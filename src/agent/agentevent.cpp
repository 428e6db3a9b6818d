#include <celeryroute/detail/agent/agentevent.h>

namespace celeryroute {

std::string toString(AgentEventKind kind)
{
    switch (kind) {
    case AgentEventKind::Submitted:
        return "submitted";
    case AgentEventKind::Refused:
        return "refused";
    case AgentEventKind::Dispatched:
        return "dispatched";
    case AgentEventKind::Resumed:
        return "resumed";
    case AgentEventKind::Ended:
        return "ended";
    case AgentEventKind::Cancelled:
        return "cancelled";
    case AgentEventKind::LoadOrdered:
        return "load_ordered";
    case AgentEventKind::UnloadOrdered:
        return "unload_ordered";
    case AgentEventKind::OrderEnded:
        return "order_ended";
    case AgentEventKind::TargetDown:
        return "target_down";
    case AgentEventKind::TargetUp:
        return "target_up";
    case AgentEventKind::CrashSuspected:
        return "crash_suspected";
    case AgentEventKind::GrantReleased:
        return "grant_released";
    case AgentEventKind::AuthorityProposed:
        return "authority_proposed";
    case AgentEventKind::Stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace celeryroute
