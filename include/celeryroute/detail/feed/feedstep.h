#pragma once

#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/time.h>

#include <variant>

namespace celeryroute {

/// The call is to be begun now, and given up when it is not answered within the timeout.
struct BeginCall {
    FeedCall call;
    Duration timeout{};
    bool operator==(const BeginCall &) const = default;
};

/// Nothing is to be done before this time.
struct WaitUntil {
    TimePoint time{};
    bool operator==(const WaitUntil &) const = default;
};

/// Nothing is to be done before the call in work is answered or timed out.
struct AwaitAnswer {
    bool operator==(const AwaitAnswer &) const = default;
};

using FeedStep = std::variant<BeginCall, WaitUntil, AwaitAnswer>;

} // namespace celeryroute
