#pragma once

#include <array>
#include <string_view>

namespace celeryroute {

/// Values of the field `reason` in log lines about requests, and of the label `reason` of the refusal metric.
namespace reasons {
inline constexpr std::string_view NoState = "no_state";
inline constexpr std::string_view KeysStale = "keys_stale";
inline constexpr std::string_view KeyMissing = "key_missing";
inline constexpr std::string_view KeyUnknown = "key_unknown";
inline constexpr std::string_view KeyWithdrawn = "key_withdrawn";
inline constexpr std::string_view RouteUnknown = "route_unknown";
inline constexpr std::string_view Malformed = "malformed";
inline constexpr std::string_view TooLarge = "too_large";
inline constexpr std::string_view CallerSlow = "caller_slow";
inline constexpr std::string_view CallerEvicted = "caller_evicted";
inline constexpr std::string_view Stopping = "stopping";
inline constexpr std::string_view Allowance = "allowance";
inline constexpr std::string_view BeyondBurst = "beyond_burst";
inline constexpr std::string_view NoTarget = "no_target";
inline constexpr std::string_view Evacuated = "evacuated";
inline constexpr std::string_view TargetsPause = "targets_pause";
inline constexpr std::string_view TargetLimit = "target_limit";
inline constexpr std::string_view NotLoaded = "not_loaded";
inline constexpr std::string_view ModelTooLarge = "model_too_large";
inline constexpr std::string_view TooLate = "too_late";
inline constexpr std::string_view Timeout = "timeout";
inline constexpr std::string_view Suspect = "suspect";
inline constexpr std::string_view SuspectPart = "suspect_part";
inline constexpr std::string_view StreamUnknown = "stream_unknown";
inline constexpr std::string_view VersionLeft = "version_left";
inline constexpr std::string_view RetryAllowance = "retry_allowance";
inline constexpr std::string_view TargetRefused = "target_refused";
inline constexpr std::string_view TargetFailed = "target_failed";
inline constexpr std::string_view TargetSilent = "target_silent";
inline constexpr std::string_view ConnectionLost = "connection_lost";
inline constexpr std::string_view AnswerGarbled = "answer_garbled";
inline constexpr std::string_view AnswerCutOff = "answer_cut_off";
inline constexpr std::string_view WrongInstance = "wrong_instance";
inline constexpr std::string_view NoSuccessor = "no_successor";
} // namespace reasons

/// Meaning of one reason, and where to find more about it.
struct ReasonDescription {
    std::string_view name;
    std::string_view meaning;
    std::string_view seeAlso; ///< Log lines, fields and metrics that give more detail.
};

// clang-format off
inline constexpr std::array ReasonDescriptions{
    ReasonDescription{reasons::NoState, "the process had read no desired state yet", "process.start, store.lost"},
    ReasonDescription{reasons::KeysStale, "no read of the keys that began recently enough had been answered", "store.lost, keys.stale; keys_age_ms"},
    ReasonDescription{reasons::KeyMissing, "the route needs a key and the request had none", "state.applied"},
    ReasonDescription{reasons::KeyUnknown, "no customer of the desired state in force holds the key", "state.applied; state_version"},
    ReasonDescription{reasons::KeyWithdrawn, "the key was withdrawn while the request was in progress", "state.applied"},
    ReasonDescription{reasons::RouteUnknown, "no route of the desired state in force matches", "state.applied; state_version"},
    ReasonDescription{reasons::Malformed, "the request was invalid or ambiguous", "the request itself"},
    ReasonDescription{reasons::TooLarge, "head or body beyond the limits of the desired state", "state.applied"},
    ReasonDescription{reasons::CallerSlow, "the caller did not send its head in time", "the caller"},
    ReasonDescription{reasons::CallerEvicted, "memory or descriptors were short", "caller.evicted; celeryroute_held_bytes"},
    ReasonDescription{reasons::Stopping, "the process was stopping", "process.unready, process.stop"},
    ReasonDescription{reasons::Allowance, "this entry's share of the allowance was spent", "allowance.changed; level, share, cost"},
    ReasonDescription{reasons::BeyondBurst, "the request costs more than the allowance can ever hold", "cost; the customer's burst"},
    ReasonDescription{reasons::NoTarget, "no target of the pool may be used", "target.shunned, target.draining, target.leaving, target.removed"},
    ReasonDescription{reasons::Evacuated, "all targets of the pool are in evacuated failure domains", "evacuation.began; celeryroute_evacuated_targets"},
    ReasonDescription{reasons::TargetsPause, "no target of the pool may be used, and some asked for a pause", "target.paused"},
    ReasonDescription{reasons::TargetLimit, "the limit that the target named leaves no request in the time that remained", "target.limited, request.queued; celeryroute_target_permits"},
    ReasonDescription{reasons::NotLoaded, "no target holds the item, and a load would have come too late", "agent.order, agent.declined"},
    ReasonDescription{reasons::ModelTooLarge, "no target of the pool can hold the model, or the adapter beside it", "state.applied; sizes of the pool's models"},
    ReasonDescription{reasons::TooLate, "the answer could not have come within the caller's time limit", "held_ms, remaining_ms"},
    ReasonDescription{reasons::Timeout, "the time limit of the caller or of the route was over", "sent_ms, total_ms"},
    ReasonDescription{reasons::Suspect, "targets died while they ran this request", "request.suspected"},
    ReasonDescription{reasons::SuspectPart, "targets died while they ran requests with one of its prompt parts", "part.suspected, request.suspected; part"},
    ReasonDescription{reasons::StreamUnknown, "the caller takes up a stream, and several software versions may have begun it", "request.pinned, peer.lost"},
    ReasonDescription{reasons::VersionLeft, "no target of the software version that began the stream may be used", "request.pinned, target.removed, target.draining"},
    ReasonDescription{reasons::RetryAllowance, "a retry was beyond the retry allowance", "celeryroute_retry_allowance"},
    ReasonDescription{reasons::TargetRefused, "the target said that it did not run the request", "request.repeated; target_age_ms"},
    ReasonDescription{reasons::TargetFailed, "the target ran the request and failed", "the target's own log"},
    ReasonDescription{reasons::TargetSilent, "the target did not answer or continue in time", "target.shunned, target.lost"},
    ReasonDescription{reasons::ConnectionLost, "the connection to the target ended; the request may have run", "target.lost, target.removed, target.shunned"},
    ReasonDescription{reasons::AnswerGarbled, "the bytes received were not the answer to this request, or no events inside a stream", "target.shunned"},
    ReasonDescription{reasons::AnswerCutOff, "the answer exceeded a limit, and its connection was closed", "answer.cut_off; limit"},
    ReasonDescription{reasons::WrongInstance, "another target has the address now", "target.removed"},
    ReasonDescription{reasons::NoSuccessor, "no other target could continue the stream", "request.resumed, target.shunned; weights"},
};
// clang-format on

/// @brief The description of the reason with the name @p name, or null.
constexpr const ReasonDescription *describeReason(std::string_view name)
{
    for (const ReasonDescription &description : ReasonDescriptions) {
        if (description.name == name) {
            return &description;
        }
    }
    return nullptr;
}

} // namespace celeryroute
