#pragma once

#include <celeryroute/urgency.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// Who may call what, and how urgently.
struct RouteSpec {
    std::string name;
    std::string pool;
    std::vector<std::string> models; ///< Engine routes: `model` or `model/adapter`; `*` for all of the pool.
    std::string path; ///< Service routes: path prefix at the entry, as in `/couriers`.
    std::vector<std::string> customers; ///< Empty when open.
    bool open = false; ///< Callable without a key.
    Urgency urgency = Urgency::Standard;
    std::uint32_t deadlineMs = 0; ///< Used when the caller names none.
    bool repeatable = false; ///< Idempotent; otherwise callers send an idempotency key.
    bool hedge = false; ///< A second attempt may start before the first has failed.
    std::uint32_t tokensPerCall = 0; ///< Service routes: cost of one call.
    bool operator==(const RouteSpec &) const = default;
};

} // namespace celeryroute
