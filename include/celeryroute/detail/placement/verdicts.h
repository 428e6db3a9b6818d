#pragma once

#include <celeryroute/time.h>

#include <optional>
#include <string>
#include <variant>

namespace celeryroute {

/// Send the call to this target now.
struct SendTo {
    std::string target;
    bool operator==(const SendTo &) const = default;
};

/// Wait for an item that is being loaded, or request it from the target's agent and wait.
struct WaitForLoad {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::string target;
    Duration expected{}; ///< Time until the item is loaded.
    bool operator==(const WaitForLoad &) const = default;
};

/// Wait until a target that holds the item has room.
struct WaitForRoom {
    Duration expected{}; ///< Time until there is room.
    std::string permitTarget = {}; ///< The target for which a permit is needed; empty if only room is.
    bool operator==(const WaitForRoom &) const = default;
};

enum class RefuseReason {
    NoTargets, ///< No target of the pool can take the call.
    UnknownModel,
    TooLarge, ///< The model, with the adapter if there is one, is larger than any target of the pool.
    TooLate, ///< The call cannot be served in the time that remains.
    TargetLimit, ///< The limit of the target leaves no request in the time that remains.
    VersionUnavailable, ///< No target holds the version of the weights that the call needs.
};

/// Refuse the call now.
struct Refuse {
    Duration retryAfter{}; ///< Time after which a retry is expected to succeed.
    RefuseReason reason = RefuseReason::TooLate;
    std::string target = {}; ///< With RefuseReason::TargetLimit: the target that has the limit.
    bool operator==(const Refuse &) const = default;
};

/// An item that a target's agent should load, independently of the call.
struct LoadRequest {
    std::string item;
    std::string target;
    bool operator==(const LoadRequest &) const = default;
};

using EngineVerdict = std::variant<SendTo, WaitForLoad, WaitForRoom, Refuse>;

/// What to do with a call to an engine.
struct EngineDecision {
    EngineVerdict verdict;
    std::optional<LoadRequest> extraLoad; ///< A load to request in addition.
    bool operator==(const EngineDecision &) const = default;
};

/// What to do with a call to a plain service.
using PlainVerdict = std::variant<SendTo, WaitForRoom, Refuse>;

} // namespace celeryroute
