#pragma once

#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/error.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// What an agent knows when a submit arrives.
struct SubmitContext {
    const AgentView &view;
    std::string pool;
    bool stopping = false;
    bool targetAlive = true;
};

/// @brief Why an attempt is refused before it is queued; empty when it may be queued.
std::optional<Error> checkSubmit(const proto::Envelope &envelope, const SubmitContext &context);

} // namespace celeryroute
