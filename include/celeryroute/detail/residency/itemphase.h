#pragma once

namespace celeryroute {

/// Where a model or adapter stands in the memory of one target.
enum class ItemPhase {
    Absent,
    Loading, ///< Memory is reserved; a load order is out or about to go out.
    Resident,
    Unloading,
    Unknown, ///< An order is in doubt; its memory counts as used.
};

} // namespace celeryroute
