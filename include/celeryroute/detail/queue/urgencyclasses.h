#pragma once

#include <celeryroute/urgency.h>

#include <array>
#include <cstddef>

namespace celeryroute {

/// All urgency classes, the most urgent first.
constexpr std::array<Urgency, 3> AllUrgencies = {Urgency::Interactive, Urgency::Standard, Urgency::Bulk};

/// @brief Position of @p urgency in AllUrgencies.
constexpr std::size_t urgencyIndex(Urgency urgency)
{
    return static_cast<std::size_t>(urgency);
}

} // namespace celeryroute
