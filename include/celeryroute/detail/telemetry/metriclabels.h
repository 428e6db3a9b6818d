#pragma once

#include <celeryroute/detail/serving/servingroute.h>
#include <celeryroute/detail/serving/targetorder.h>

#include <array>
#include <string_view>

namespace celeryroute {

/// How a request ended at an entry.
enum class RequestOutcome {
    Answered,
    Refused, ///< Not run.
    Failed,
    Cut, ///< After the head of the answer.
    Abandoned, ///< By its caller.
};

enum class StoreCallKind {
    ReadNewest,
    ReadFrom,
    Append,
};

enum class StoreCallOutcome {
    Answered,
    Expired, ///< The records asked for are gone.
    Refused, ///< Answered, and nothing was done.
    Lost, ///< No answer.
};

/// Where a load takes its weights from.
enum class LoadSource {
    Store,
    Disk,
    Memory,
    Adapter, ///< Adapters do not count against the store's rate.
};

/// Where the tokens of prompts come from.
enum class PromptSource {
    Cached,
    Read,
};

// Values of the labels, in the order of the enumerators.
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

/// @brief The label value of @p enumerator.
template <typename Enum>
constexpr std::string_view labelValue(Enum enumerator)
{
    return labelValues(Enum{})[static_cast<std::size_t>(enumerator)];
}

} // namespace celeryroute
