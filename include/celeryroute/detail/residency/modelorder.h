#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// What an order asks of a target.
enum class OrderKind { Load, Unload };

/// One load or unload order.
struct ModelOrder {
    std::uint64_t id = 0;
    OrderKind kind = OrderKind::Load;
    std::string item;
    std::uint32_t memoryMb = 0;
    std::uint32_t version = 0;
    std::uint64_t fencing = 0;
    TimePoint decidedAt;
    bool operator==(const ModelOrder &) const = default;
};

/// How an order ended.
enum class OrderOutcome {
    Done,
    NotSent, ///< Provably never reached the target.
    FencingRefused,
    NoMemory,
    StoreFailed,
    InDoubt, ///< The answer was lost; the order may still take effect.
};

} // namespace celeryroute
