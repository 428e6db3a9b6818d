#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// Kind of an order to a target.
enum class OrderKind { Load, Unload };

/// Order to a target to load or unload one item.
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

/// Outcome of an order.
enum class OrderOutcome {
    Done, ///< The order was carried out.
    NotSent, ///< The order certainly never reached the target.
    FencingRefused,
    NoMemory,
    StoreFailed, ///< Reading from the weight store failed.
    InDoubt, ///< The answer was lost. The order may have taken effect or may still do so.
};

} // namespace celeryroute
