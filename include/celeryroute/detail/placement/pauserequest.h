#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace celeryroute {

/// A pause that a target asked for.
struct PauseRequest {
    Duration length{};
    bool bounded = false; ///< The target asked for more.
    bool operator==(const PauseRequest &) const = default;
};

/// @brief Reads a pause in seconds, fractions allowed.
/// @return the pause, at most @p longest; nothing if @p text is not a positive finite number
std::optional<PauseRequest> readPause(std::string_view text, Duration longest);

/// @brief When a caller should come back after all targets of its pool have asked for a pause.
///
/// Load pattern: all targets ask for a pause at once, and all callers that are turned away would return together when
/// it is over. Callers return in the order of their priority, each class spread over a window of its own.
/// @param left time until the first target may get calls
/// @param digest spreads the callers of one priority
Duration returnAfterPause(Duration left, std::uint32_t priority, std::uint64_t digest);

} // namespace celeryroute
