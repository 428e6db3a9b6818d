#pragma once

#include <string>
#include <vector>

namespace celeryroute {

/// @brief The name in @p known that differs least from @p name, or empty when none is close.
std::string similarName(const std::string &name, const std::vector<std::string> &known);

} // namespace celeryroute
