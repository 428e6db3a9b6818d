#pragma once

#include <celeryroute/detail/agent/agentevent.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace celeryroute {

class FleetState;

namespace proto {
class AuthorityChange;
class Envelope;
} // namespace proto

/// Callbacks through which an Agent uses its process. They run on the agent's threads and must not block.
struct AgentHooks {
    /// Returns the latest replicated state, or nullptr while there is none.
    std::function<std::shared_ptr<const FleetState>()> state;
    /// Appends a record with this body to the log. The append may fail silently; the agent proposes it again.
    std::function<void(const proto::AuthorityChange &change)> submitAuthorityChange;
    /// Answers messages that the agent does not handle itself, such as StateQuery.
    std::function<std::optional<proto::Envelope>(const proto::Envelope &message)> otherMessage;
    /// Called when a peer reports that it has applied the log up to this offset.
    std::function<void(const std::string &sender, std::uint64_t offset)> peerOffset;
    std::function<void(const AgentEvent &event)> event;
    /// Returns the logical time of a message that is about to be sent. May be null.
    std::function<std::uint64_t()> stampTime;
    /// Receives the logical time of an incoming message. May be null.
    std::function<void(std::uint64_t logicalTime)> observeTime;
    /// Returns whether the log has answered this process recently.
    std::function<bool()> logReachable;
};

} // namespace celeryroute
