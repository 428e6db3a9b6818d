#pragma once

#include <cstdint>

namespace celeryroute {

/// Highest format of a log record that this version of the program can fold.
constexpr std::uint32_t NewestKnownFormat = 1;

} // namespace celeryroute
