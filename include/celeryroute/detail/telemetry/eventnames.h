#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace celeryroute {

/// Event that a log line reports; describe() returns its name and meaning.
enum class DecisionEvent {
    ProcessStart,
    ProcessStop,
    ProcessReady,
    ProcessUnready,
    SettingsReloaded,
    SettingsRejected,
    MetricsServed,
    StoreLost,
    StoreRegained,
    StoreRestored,
    KeysStale,
    KeysFresh,
    PeerLost,
    PeerRegained,
    StateApplied,
    StateRejected,
    EvacuationBegan,
    EvacuationEnded,
    EvacuationMalformed,
    AllowanceChanged,
    VersionsRead,
    VersionRecorded,
    TargetAdded,
    TargetRemoved,
    TargetDraining,
    TargetLeaving,
    TargetPaused,
    TargetLimited,
    TargetCold,
    TargetShunned,
    TargetRestored,
    TargetLost,
    TargetRegained,
    RequestRefused,
    RequestQueued,
    RequestSent,
    RequestRepeated,
    RequestHedged,
    RequestKept,
    RequestPinned,
    RequestResumed,
    AnswerCutOff,
    AnswerDropped,
    CallerEvicted,
    RequestAnswered,
    RequestFailed,
    RequestCut,
    RequestAbandoned,
    RequestSuspected,
    PartSuspected,
    PartCleared,
    AgentFenced,
    AgentOrder,
    AgentOutcome,
    AgentDeclined,
};

/// Class of an event, which sets its rate limit; see lineLimit().
enum class LineVolume {
    Sampled, ///< Successful requests.
    Decision, ///< Decisions about requests, targets, loads and shares.
    Failure, ///< End of a request that was refused or failed.
    Dependency, ///< Starts, stops, and changes in what the process depends on.
};

/// Name, rate class and meaning of one event.
struct EventDescription {
    DecisionEvent event;
    std::string_view name;
    LineVolume volume;
    std::string_view fields; ///< Names of its fields, without those that every line has.
    std::string_view meaning;
};

/// Names of fields that mean the same in every line.
namespace fieldnames {
inline constexpr std::string_view Attempt = "attempt"; ///< Number of the attempt to send the request, starting at 1.
inline constexpr std::string_view Target = "target"; ///< Instance ID from the registry.
inline constexpr std::string_view Customer = "customer";
inline constexpr std::string_view Item = "item"; ///< `MODEL` or `MODEL/ADAPTER`.
inline constexpr std::string_view Reason = "reason";
inline constexpr std::string_view StateVersion = "state_version"; ///< Version of the desired state in force.
inline constexpr std::string_view Message = "msg"; ///< Number of the sender's first datagram that reports this.
inline constexpr std::string_view HeardIncarnation = "heard_inc"; ///< Sender's incarnation in the newest datagram used.
inline constexpr std::string_view HeardMessage = "heard_msg"; ///< Sequence number of that datagram.
} // namespace fieldnames

// clang-format off
inline constexpr std::array EventDescriptions{
    EventDescription{DecisionEvent::ProcessStart, "process.start", LineVolume::Dependency, "version pid", "the process runs"},
    EventDescription{DecisionEvent::ProcessStop, "process.stop", LineVolume::Dependency, "reason in_work uptime_ms", "the process ends"},
    EventDescription{DecisionEvent::ProcessReady, "process.ready", LineVolume::Dependency, "after_ms state_version targets", "the balancer is told to send callers here"},
    EventDescription{DecisionEvent::ProcessUnready, "process.unready", LineVolume::Dependency, "reason", "the balancer is told to send no new callers"},
    EventDescription{DecisionEvent::SettingsReloaded, "settings.reloaded", LineVolume::Dependency, "changed next_start", "settings were read again; those of next_start wait for a new process"},
    EventDescription{DecisionEvent::SettingsRejected, "settings.rejected", LineVolume::Dependency, "reason", "new settings have mistakes; the old ones stay in force"},
    EventDescription{DecisionEvent::MetricsServed, "metrics.served", LineVolume::Dependency, "port reason", "the metrics can be read at this port of the host, or not at all"},
    EventDescription{DecisionEvent::StoreLost, "store.lost", LineVolume::Dependency, "topic status silent_ms", "calls to the store about a topic fail"},
    EventDescription{DecisionEvent::StoreRegained, "store.regained", LineVolume::Dependency, "topic lost_ms offset", "the store answers them again"},
    EventDescription{DecisionEvent::StoreRestored, "store.restored", LineVolume::Dependency, "era era_before", "the store came back from a copy; all topics are read again"},
    EventDescription{DecisionEvent::KeysStale, "keys.stale", LineVolume::Dependency, "age_ms bound_ms state_version", "keyed requests are refused until the keys have been read again"},
    EventDescription{DecisionEvent::KeysFresh, "keys.fresh", LineVolume::Dependency, "age_ms stale_ms state_version", "keyed requests are admitted"},
    EventDescription{DecisionEvent::PeerLost, "peer.lost", LineVolume::Dependency, "peer peer_role peer_inc silent_ms", "no datagram of a peer has come for too long"},
    EventDescription{DecisionEvent::PeerRegained, "peer.regained", LineVolume::Dependency, "peer peer_role peer_inc lost_ms", "a datagram of a peer has come, for the first time or again"},
    EventDescription{DecisionEvent::StateApplied, "state.applied", LineVolume::Dependency, "state_version offset routes pools customers", "a desired state is in force"},
    EventDescription{DecisionEvent::StateRejected, "state.rejected", LineVolume::Dependency, "offset state_version", "a desired state could not be read; the one before stays in force"},
    EventDescription{DecisionEvent::EvacuationBegan, "evacuation.began", LineVolume::Dependency, "domain offset targets loads", "the targets of a failure domain get no more requests; loads is the number of models that this entry asks to be loaded elsewhere"},
    EventDescription{DecisionEvent::EvacuationEnded, "evacuation.ended", LineVolume::Dependency, "domain offset targets", "the targets of a failure domain may get requests again"},
    EventDescription{DecisionEvent::EvacuationMalformed, "evacuation.malformed", LineVolume::Dependency, "key offset code", "a record about an evacuation could not be read; what is in force stays in force"},
    EventDescription{DecisionEvent::AllowanceChanged, "allowance.changed", LineVolume::Decision, "share entries state_version msg heard_inc heard_msg", "this entry's share of every allowance"},
    EventDescription{DecisionEvent::VersionsRead, "versions.read", LineVolume::Dependency, "pools versions offset", "the record of the software versions that served before was read"},
    EventDescription{DecisionEvent::VersionRecorded, "version.recorded", LineVolume::Dependency, "pool software change offset", "a software version was added to that record or removed from it"},
    EventDescription{DecisionEvent::TargetAdded, "target.added", LineVolume::Decision, "target pool address born_ms offset", "the registry names a target for the first time"},
    EventDescription{DecisionEvent::TargetRemoved, "target.removed", LineVolume::Decision, "target pool offset", "the registry names a target no longer"},
    EventDescription{DecisionEvent::TargetDraining, "target.draining", LineVolume::Decision, "target pool address offset remaining_ms", "the registry says that a target leaves"},
    EventDescription{DecisionEvent::TargetLeaving, "target.leaving", LineVolume::Decision, "target pool born_ms reason outcome", "a target said in an answer that it leaves, or its agent told so, or another lifetime of it is known; excluded targets get no calls"},
    EventDescription{DecisionEvent::TargetPaused, "target.paused", LineVolume::Decision, "target asked outcome for_ms", "a target refused a request and asked for a pause"},
    EventDescription{DecisionEvent::TargetLimited, "target.limited", LineVolume::Decision, "target pool change per_second asked outcome born_ms issuer peer heard_inc heard_msg msg", "what is known of a target's limit has changed, or the limit can't be read"},
    EventDescription{DecisionEvent::TargetCold, "target.cold", LineVolume::Decision, "target pool remaining_ms per_second source", "a target has just started and gets only some requests a second"},
    EventDescription{DecisionEvent::TargetShunned, "target.shunned", LineVolume::Decision, "target reason for_ms", "a target gets no requests for a time"},
    EventDescription{DecisionEvent::TargetRestored, "target.restored", LineVolume::Decision, "target shunned_ms reason", "a target gets requests again"},
    EventDescription{DecisionEvent::TargetLost, "target.lost", LineVolume::Dependency, "target silent_ms msg", "an agent's target does not answer it"},
    EventDescription{DecisionEvent::TargetRegained, "target.regained", LineVolume::Dependency, "target born_ms lost_ms msg", "an agent's target answers it"},
    EventDescription{DecisionEvent::RequestRefused, "request.refused", LineVolume::Failure, "status reason kind customer route state_version keys_age_ms retry_after_ms held_ms level cost share item target targets target_age_ms heard_inc heard_msg crashes part", "final answer: not run, and never will be"},
    EventDescription{DecisionEvent::RequestQueued, "request.queued", LineVolume::Decision, "reason item target limit_per_second expected_ms limit_ms target_age_ms state_version msg heard_inc heard_msg", "the request waits for a load, a free slot or a permit"},
    EventDescription{DecisionEvent::RequestSent, "request.sent", LineVolume::Decision, "attempt target kind customer route item remaining_ms cached_tokens prompt_tokens in_flight limit_per_second target_age_ms state_version heard_inc heard_msg", "bytes of the request go to a target"},
    EventDescription{DecisionEvent::RequestRepeated, "request.repeated", LineVolume::Decision, "attempt target reason not_run allowance", "the send to a target failed, and a retry may follow"},
    EventDescription{DecisionEvent::RequestHedged, "request.hedged", LineVolume::Decision, "attempt target from_target silent_ms last_event", "its target is silent, and another one gets the request too"},
    EventDescription{DecisionEvent::RequestKept, "request.kept", LineVolume::Decision, "attempt target reason silent_ms", "its target is silent and keeps the request, because no other one takes it"},
    EventDescription{DecisionEvent::RequestPinned, "request.pinned", LineVolume::Decision, "resumes pool software reason last_event", "the caller takes up a stream, which continues at this software version only"},
    EventDescription{DecisionEvent::RequestResumed, "request.resumed", LineVolume::Decision, "attempt target from_target last_event weights software reason", "a stream continues at another target"},
    EventDescription{DecisionEvent::AnswerCutOff, "answer.cut_off", LineVolume::Decision, "attempt target limit bytes", "a target's answer exceeded a limit, and its connection was closed"},
    EventDescription{DecisionEvent::AnswerDropped, "answer.dropped", LineVolume::Decision, "unsent_bytes idle_limit_ms", "the caller took nothing of its answer for the idle limit, and its connection was closed"},
    EventDescription{DecisionEvent::CallerEvicted, "caller.evicted", LineVolume::Decision, "reason held_bytes total_bytes limit_bytes idle_ms code", "a caller's connection was refused or closed, because memory or descriptors were short"},
    EventDescription{DecisionEvent::RequestAnswered, "request.answered", LineVolume::Sampled, "attempt target status first_ms total_ms events framing partial_bytes", "the whole answer went to the caller"},
    EventDescription{DecisionEvent::RequestFailed, "request.failed", LineVolume::Failure, "attempt target status reason kind customer route sent_ms total_ms not_run retry_reason silent_ms state_version", "final answer: a failure after which the request may have run, or the target's own"},
    EventDescription{DecisionEvent::RequestCut, "request.cut", LineVolume::Failure, "attempt target reason kind customer route events last_event total_ms framing partial_bytes resumable retry_reason silent_ms", "the answer broke off after its head"},
    EventDescription{DecisionEvent::RequestAbandoned, "request.abandoned", LineVolume::Decision, "attempt target total_ms events", "the caller disconnected; the request is cancelled at its target"},
    EventDescription{DecisionEvent::RequestSuspected, "request.suspected", LineVolume::Decision, "target digest crashes parts msg heard_inc heard_msg", "the request was running when a target died"},
    EventDescription{DecisionEvent::PartSuspected, "part.suspected", LineVolume::Decision, "part crashes answered_before", "requests with this prompt part are refused, because it crashes targets"},
    EventDescription{DecisionEvent::PartCleared, "part.cleared", LineVolume::Decision, "part answered_before", "requests with this prompt part are sent again"},
    EventDescription{DecisionEvent::AgentFenced, "agent.fenced", LineVolume::Dependency, "target fence msg", "the agent may order its target under this fence"},
    EventDescription{DecisionEvent::AgentOrder, "agent.order", LineVolume::Decision, "target operation item source sequence fence report_age_ms msg heard_inc heard_msg", "the agent orders a load or an unload"},
    EventDescription{DecisionEvent::AgentOutcome, "agent.outcome", LineVolume::Decision, "target operation item outcome status took_ms msg", "the result of an order"},
    EventDescription{DecisionEvent::AgentDeclined, "agent.declined", LineVolume::Decision, "target item reason count msg heard_inc heard_msg", "an item that is wanted is not loaded for this reason from now on"},
};
// clang-format on

/// @brief The description of @p event.
constexpr const EventDescription &describe(DecisionEvent event)
{
    return EventDescriptions[static_cast<std::size_t>(event)];
}

/// @brief The description of the event with the name @p name, or null.
constexpr const EventDescription *describeEventNamed(std::string_view name)
{
    for (const EventDescription &description : EventDescriptions) {
        if (description.name == name) {
            return &description;
        }
    }
    return nullptr;
}

/// @brief Whether @p event is the last event of a request.
constexpr bool endsRequest(DecisionEvent event)
{
    return event == DecisionEvent::RequestRefused || event == DecisionEvent::RequestAnswered
        || event == DecisionEvent::RequestFailed || event == DecisionEvent::RequestCut
        || event == DecisionEvent::RequestAbandoned;
}

} // namespace celeryroute
