#pragma once

#include <string_view>

namespace celeryroute {

/// @brief @p text without leading and trailing @p blanks.
std::string_view trimmed(std::string_view text, std::string_view blanks = " \t");

} // namespace celeryroute
