#pragma once

#include <cstdint>
#include <optional>

namespace celeryroute {

/// @brief The era of the store, as one process knows it.
///
/// The era rises when the store comes back from a copy. Records that were written after the copy was made are lost
/// then, and their offsets are given out again.
class StoreEra
{
public:
    enum class Change {
        None, ///< The era is the known one, or the answer named none.
        First, ///< The first answer that names an era. Whether the store has just come back from a copy is not known.
        Newer, ///< The store came back from a copy since the last answer.
        Older, ///< The answer was made before the store came back.
    };

    /// @brief Takes over the era that an answer of the store named.
    Change note(std::optional<std::uint64_t> era);

    /// @brief The highest era seen; 0 before the first.
    std::uint64_t value() const
    {
        return m_era;
    }

private:
    std::uint64_t m_era = 0;
    bool m_isKnown = false;
};

/// @brief A fencing token that is higher than those of all earlier eras, and of lower offsets in the same one.
std::uint64_t fencingToken(std::uint64_t era, std::uint64_t offset);

} // namespace celeryroute
