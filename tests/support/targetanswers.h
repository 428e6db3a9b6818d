#pragma once

#include "gatewayworld.h"

#include <string>

namespace celeryroute {

/// @brief @p bytes as one chunk of a chunked body.
std::string chunk(const std::string &bytes);

/// @brief A server-sent event.
std::string event(int id, const std::string &data = "x");

inline const std::string Ok = signedAnswer(200, "ok");
/// Head of a stream of events.
inline const std::string StreamHead = "HTTP/1.1 200 Begun\r\nX-Request-Id: {id}\r\nX-Signature: sig\r\n"
                                      "X-Weights: 7\r\nContent-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n";
/// Head of a stream of events at another target than that of StreamHead.
inline const std::string SecondHead = "HTTP/1.1 200 Other\r\nX-Request-Id: {id}\r\nX-Signature: other\r\n"
                                      "X-Weights: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string LastChunk = "0\r\n\r\n";
/// The target did not run the call.
inline const std::string Full = httpAnswer(503, {}, "X-Request-Id: {id}\r\nX-Not-Run: 1\r\n");

} // namespace celeryroute
