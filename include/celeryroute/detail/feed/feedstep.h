#pragma once

#include <celeryroute/detail/feed/feedcalls.h>
#include <celeryroute/time.h>

#include <variant>

namespace celeryroute {

/// The driver should start the call now, and abandon it when the timeout expires.
struct BeginCall {
    FeedCall call;
    Duration timeout{};
    bool operator==(const BeginCall &) const = default;
};

/// The driver has nothing to do before this time.
struct WaitUntil {
    TimePoint time{};
    bool operator==(const WaitUntil &) const = default;
};

/// The driver has nothing to do until the pending call is answered or times out.
struct AwaitAnswer {
    bool operator==(const AwaitAnswer &) const = default;
};

using FeedStep = std::variant<BeginCall, WaitUntil, AwaitAnswer>;

} // namespace celeryroute
