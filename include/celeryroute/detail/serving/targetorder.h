#pragma once

#include <cstdint>
#include <string>

namespace celeryroute {

enum class OrderKind {
    Load,
    Unload,
};

/// An order to a model engine.
struct TargetOrder {
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::uint64_t expectedSequence = 0; ///< The target refuses the order at any other.
    std::string holder;
    std::uint64_t fence = 0;
    std::string instance; ///< Target that may carry the order out.
    bool operator==(const TargetOrder &) const = default;
};

/// How a target answered an order.
enum class OrderAnswer {
    Accepted, ///< Being carried out.
    AlreadyHolds,
    Conflict, ///< Another order is in progress, or the sequence differs.
    Fenced, ///< A higher fence was seen.
    Rejected, ///< Malformed, or for another instance; never carried out.
    InDoubt, ///< No answer: may have been carried out, or may be later.
};

} // namespace celeryroute
