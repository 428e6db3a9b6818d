#pragma once

#include <string>
#include <string_view>

namespace celeryroute {

/// @brief Appends @p bytes to @p buffer. If that needs more room, a buffer above 4 KiB grows by an eighth at most
/// beyond what it then holds.
void appendCompactly(std::string &buffer, std::string_view bytes);

/// @brief Empties @p buffer and gives back its memory.
void release(std::string &buffer);

} // namespace celeryroute
