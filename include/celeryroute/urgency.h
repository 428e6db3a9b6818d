#pragma once

#include <optional>
#include <string>

namespace celeryroute {

/// How urgently a route's requests are served; lower values are served first.
enum class Urgency {
    Interactive,
    Standard,
    Bulk,
};

/// @brief `interactive`, `standard` or `bulk`.
std::string toString(Urgency urgency);

/// @brief The urgency called @p name, if any.
std::optional<Urgency> urgencyFromString(const std::string &name);

} // namespace celeryroute
