#pragma once

#include <celeryroute/detail/serving/servingroute.h>
#include <celeryroute/detail/serving/targetorder.h>

#include <array>
#include <string_view>

namespace celeryroute {

/// Why a connection was refused or closed before its time, for the log.
enum class EvictionReason {
    Memory, ///< All connections held too many bytes.
    Share, ///< The connections of one customer or address did.
    Descriptors, ///< Its descriptor was needed.
};

/// How a request ended at an entry.
enum class RequestOutcome {
    Answered,
    Refused, ///< Not executed.
    Failed,
    Cut, ///< Broke off after the head of the answer.
    Abandoned, ///< The caller disconnected.
};

enum class StoreCallKind {
    ReadNewest,
    ReadFrom,
    Append,
};

enum class StoreCallOutcome {
    Answered,
    Expired, ///< The requested records are no longer retained.
    Refused, ///< Answered with an error; nothing was done.
    Lost, ///< No answer.
};

/// Where a model load reads its weights from.
enum class LoadSource {
    Store,
    Disk,
    Memory,
    Adapter, ///< Load of an adapter; does not count against the rate limit of the weights store.
};

/// Whether prompt tokens are expected in the prefix cache of the target.
enum class PromptSource {
    Cached,
    Read,
};

/// Kind of a message to another process.
enum class PeerMessageKind {
    Report, ///< Of an entry to another entry: spending, members and receipts.
    Crashes, ///< Of an entry to another entry.
    Demand, ///< Of an entry to an agent.
    AgentState, ///< Of an agent to an entry.
    AgentLoad,
    Limits, ///< Of an entry to another entry: limits of targets, and permits for sending to them.
};

enum class PeerRole {
    Entry,
    Agent,
};

// Label values in the order of the enumerators.
constexpr std::array<std::string_view, 3> labelValues(EvictionReason)
{
    return {"memory", "share", "descriptors"};
}
constexpr std::array<std::string_view, 3> labelValues(CallKind)
{
    return {"idempotent", "at_most_once", "stream"};
}
constexpr std::array<std::string_view, 5> labelValues(RequestOutcome)
{
    return {"answered", "refused", "failed", "cut", "abandoned"};
}
constexpr std::array<std::string_view, 3> labelValues(StoreCallKind)
{
    return {"read_newest", "read_from", "append"};
}
constexpr std::array<std::string_view, 4> labelValues(StoreCallOutcome)
{
    return {"answered", "expired", "refused", "lost"};
}
constexpr std::array<std::string_view, 2> labelValues(OrderKind)
{
    return {"load", "unload"};
}
constexpr std::array<std::string_view, 6> labelValues(OrderAnswer)
{
    return {"accepted", "already_holds", "conflict", "fenced", "rejected", "in_doubt"};
}
constexpr std::array<std::string_view, 4> labelValues(LoadSource)
{
    return {"store", "disk", "memory", "adapter"};
}
constexpr std::array<std::string_view, 2> labelValues(PromptSource)
{
    return {"cached", "read"};
}

constexpr std::array<std::string_view, 6> labelValues(PeerMessageKind)
{
    return {"report", "crashes", "demand", "agent_state", "agent_load", "limits"};
}
constexpr std::array<std::string_view, 2> labelValues(PeerRole)
{
    return {"entry", "agent"};
}

/// @brief The label value for @p enumerator.
template <typename Enum>
constexpr std::string_view labelValue(Enum enumerator)
{
    return labelValues(Enum{})[static_cast<std::size_t>(enumerator)];
}

} // namespace celeryroute
