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

/// What an Agent needs from its process. Each is called from the agent's threads and must not block.
struct AgentHooks {
    /// The newest agreed state; nullptr while there is none.
    std::function<std::shared_ptr<const FleetState>()> state;
    /// Appends a record with this body to the log; a lost one is proposed again.
    std::function<void(const proto::AuthorityChange &change)> submitAuthorityChange;
    /// Answers messages that are not the agent's own, such as StateQuery.
    std::function<std::optional<proto::Envelope>(const proto::Envelope &message)> otherMessage;
    /// A peer has folded the log up to this offset.
    std::function<void(const std::string &sender, std::uint64_t offset)> peerOffset;
    std::function<void(const AgentEvent &event)> event;
    /// The logical time for a message that is about to be sent; may be null.
    std::function<std::uint64_t()> stampTime;
    /// The logical time of a message that was received; may be null.
    std::function<void(std::uint64_t logicalTime)> observeTime;
    /// Whether the log answered this process lately.
    std::function<bool()> logReachable;
};

} // namespace celeryroute
