#pragma once

#include <cstdint>

namespace celeryroute {

/// Offset plus one of the record that last changed an item; 0 for no record.
using Revision = std::uint64_t;

/// @brief Returns the revision of items changed by the record at @p offset.
constexpr Revision revisionAt(std::uint64_t offset)
{
    return offset + 1;
}

/// A value and the revision of the record that last changed it.
template <typename T>
struct Versioned {
    T value;
    Revision revision = 0;
    bool operator==(const Versioned &) const = default;
};

} // namespace celeryroute
