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

/// Wait for an item that is being loaded, or that the target's agent is to be asked for.
struct WaitFor {
    std::string item; ///< `MODEL` or `MODEL/ADAPTER`
    std::string target;
    Duration expected{}; ///< Until the item is there.
    bool operator==(const WaitFor &) const = default;
};

/// Wait until a target that holds the item has room.
struct WaitForRoom {
    Duration expected{};
    bool operator==(const WaitForRoom &) const = default;
};

enum class RefuseReason {
    NoTargets, ///< The pool has none that could take the call.
    UnknownModel,
    TooLarge, ///< No target of the pool can ever hold the model, or the adapter beside it.
    TooLate, ///< Cannot be done in the time that remains.
    WeightsGone, ///< No target holds the version of the weights that the call needs.
};

/// Answer the call now: it cannot be served in time.
struct Refuse {
    Duration retryAfter{}; ///< When it is expected to succeed.
    RefuseReason reason = RefuseReason::TooLate;
    bool operator==(const Refuse &) const = default;
};

/// An item that a target's agent should load, whatever becomes of the call.
struct LoadWant {
    std::string item;
    std::string target;
    bool operator==(const LoadWant &) const = default;
};

using EngineVerdict = std::variant<SendTo, WaitFor, WaitForRoom, Refuse>;

/// What to do with a call to an engine.
struct EngineDecision {
    EngineVerdict verdict;
    std::optional<LoadWant> want; ///< Besides the verdict.
    bool operator==(const EngineDecision &) const = default;
};

/// What to do with a call to a plain service.
using PlainVerdict = std::variant<SendTo, WaitForRoom, Refuse>;

} // namespace celeryroute
