#pragma once

#include <celeryroute/detail/http/httpexchange.h>
#include <celeryroute/detail/http/httpmessage.h>

#include <cstddef>
#include <memory>

struct MHD_Connection;

namespace celeryroute {

/// A request that is being received.
struct HttpReception {
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
    int socket = -1;
    std::size_t discardedBytes = 0;
    bool dispatched = false;
};

/// @brief The path, headers and query of a request whose head has arrived.
HttpRequest readHead(MHD_Connection *connection, const char *method, const char *path);

/// @brief Bytes of path, headers and query.
std::size_t headBytes(const HttpRequest &request);

/// @brief Whether the Content-Length header names more than @p limit bytes.
bool announcesMoreThan(const HttpFields &headers, std::size_t limit);

/// @brief Whether two readers could see the end of the body in different places: more than one length, a
/// length that is not digits, a length beside chunks, or another transfer coding than one of chunks.
bool hasAmbiguousEnd(const HttpFields &headers);

} // namespace celeryroute
