#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace celeryroute {

/// Header or query fields; header names are lower case.
using HttpFields = std::map<std::string, std::string>;

/// A whole request as received from a caller.
struct HttpRequest {
    std::string method;
    std::string path; ///< Percent-decoded, without the query.
    HttpFields query;
    HttpFields headers;
    std::string body;
    std::uint64_t connection = 0; ///< Number of the caller's connection, ascending from 1.
    bool operator==(const HttpRequest &) const = default;
};

/// Status, headers and, for answers that are not streamed, the body.
struct HttpResponse {
    int status = 200;
    HttpFields headers;
    std::string body;
    bool operator==(const HttpResponse &) const = default;
};

/// One call of ours to an HTTP server.
struct HttpCall {
    std::string method = "GET";
    std::string url;
    HttpFields headers;
    std::string body;
    Duration totalTimeout = std::chrono::seconds(10);
    Duration connectTimeout = std::chrono::seconds(1);
    /// Fails the call when no byte arrives for this long; zero for no limit.
    Duration idleTimeout = Duration::zero();
    /// Longest body of the answer. A call whose answer is longer fails.
    std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;
    /// Opens a new connection and closes it afterwards.
    bool freshConnection = false;
    bool operator==(const HttpCall &) const = default;
};

} // namespace celeryroute
