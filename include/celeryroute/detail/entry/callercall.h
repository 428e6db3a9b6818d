#pragma once

#include <celeryroute/detail/entry/admission.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// An admitted call that is forwarded to a target.
struct CallerCall {
    std::string requestId;
    Caller caller;
    RouteSpec route;
    std::string model; ///< Empty for plain services.
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    bool stream = false;
    std::uint32_t promptTokens = 0;
    std::uint64_t worstCaseTokens = 0; ///< Reserved before the call is forwarded.
    std::string requestDigest; ///< Digest of route, method, path and body.
    TimePoint received;
    TimePoint deadline; ///< Deadline of the complete answer, or of the head of a stream.
    bool operator==(const CallerCall &) const = default;
};

} // namespace celeryroute
