#pragma once

#include <celeryroute/detail/agent/agentview.h>
#include <celeryroute/error.h>
#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// Agent state against which a submit message is checked.
struct SubmitContext {
    const AgentView &view;
    std::string pool;
    bool stopping = false;
    bool targetAlive = true;
};

/// @brief Returns why an attempt is refused before it is queued, or nothing if it may be queued.
std::optional<Error> checkSubmit(const proto::Envelope &envelope, const SubmitContext &context);

} // namespace celeryroute
