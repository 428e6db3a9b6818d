#pragma once

#include <cstdint>

namespace celeryroute {

/// Position of the record that last changed an item: its offset plus one; 0 for no record.
using Revision = std::uint64_t;

/// @brief The revision that the record at @p offset gives to the items it changes.
constexpr Revision revisionAt(std::uint64_t offset)
{
    return offset + 1;
}

/// A value and the record that last changed it.
template <typename T>
struct Versioned {
    T value;
    Revision revision = 0;
    bool operator==(const Versioned &) const = default;
};

} // namespace celeryroute
