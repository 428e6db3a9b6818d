#pragma once

#include <cstdint>
#include <string>

namespace celeryroute {

/// Operation of a TargetOrder.
enum class OrderKind {
    Load,
    Unload,
};

/// An order to a model engine.
struct TargetOrder {
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::uint64_t expectedSequence = 0; ///< The target rejects the order unless its sequence number is this one.
    std::string holder; ///< Agent that sends the order.
    std::uint64_t fence = 0; ///< Fencing token of the holder.
    std::string instance; ///< Id of the target that may execute the order.
    bool operator==(const TargetOrder &) const = default;
};

/// A target's answer to an order.
enum class OrderAnswer {
    Accepted, ///< The target executes the order.
    AlreadyHolds, ///< The target already is in the requested state.
    Conflict, ///< Another order is in progress, or the sequence number differs.
    Fenced, ///< The target has seen a higher fencing token.
    Rejected, ///< Malformed or for another instance; the order is never executed.
    InDoubt, ///< No answer: the order may have been executed, or may still be.
};

} // namespace celeryroute
