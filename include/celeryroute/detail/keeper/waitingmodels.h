#pragma once

#include <celeryroute/time.h>

#include <cstdint>

namespace celeryroute {

/// @brief Models that a target declines for one reason.
struct WaitingModels {
    std::uint64_t count = 0;
    Duration longestWait{};
    bool operator==(const WaitingModels &) const = default;
};

} // namespace celeryroute
