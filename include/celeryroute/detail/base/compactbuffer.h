#pragma once

#include <string>
#include <string_view>

namespace celeryroute {

/// @brief Appends @p bytes to @p buffer, which gets room for an eighth more than it holds at most.
void appendCompactly(std::string &buffer, std::string_view bytes);

/// @brief Empties @p buffer and gives back its memory.
void release(std::string &buffer);

} // namespace celeryroute
