#pragma once

#include <celeryroute/detail/http1/messagehead.h>

#include <string>
#include <string_view>

namespace celeryroute {

/// @brief Appends one `name: value` line to @p out.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// @brief Appends the start line of a request.
void appendRequestLine(std::string &out, std::string_view method, std::string_view target);

/// @brief Appends the start line of an answer; an empty @p reason takes the usual one.
void appendStatusLine(std::string &out, int status, std::string_view reason = {});

/// @brief Appends @p bytes as one chunk; nothing when empty.
void appendChunk(std::string &out, std::string_view bytes);

/// @brief Appends the chunk that ends a body.
void appendLastChunk(std::string &out);

/// @brief The usual reason phrase of @p status.
std::string_view reasonPhrase(int status);

} // namespace celeryroute
