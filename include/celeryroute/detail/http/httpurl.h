#pragma once

#include <celeryroute/detail/net/endpoint.h>

#include <optional>
#include <string>

namespace celeryroute {

/// An `http` URL with an IPv4 number.
struct HttpUrl {
    Endpoint endpoint;
    std::string host; ///< As it was written, with the port.
    std::string target; ///< Path and query.
    bool operator==(const HttpUrl &) const = default;
};

/// @brief Reads `http://A.B.C.D[:PORT][/PATH]`; nothing for other URLs and for bytes that would end a line.
std::optional<HttpUrl> parseHttpUrl(const std::string &text);

} // namespace celeryroute
