#pragma once

namespace celeryroute {

/// State of a model or adapter in the memory of one target.
enum class ItemPhase {
    Absent,
    Loading, ///< Memory is reserved, and a load order was sent or is about to be sent.
    Resident,
    Unloading,
    Unknown, ///< The outcome of an order is unknown. The memory of the item counts as used.
};

} // namespace celeryroute
