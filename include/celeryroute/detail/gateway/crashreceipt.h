#pragma once

#include <cstdint>

namespace celeryroute {

/// Which crash reports of one sender have arrived.
struct CrashReceipt {
    std::uint64_t incarnation = 0; ///< Of the sender of the reports.
    std::uint64_t newest = 0; ///< Highest number that has arrived.
    std::uint64_t earlier = 0; ///< Bit i is set if the report newest - 1 - i has arrived.
    bool operator==(const CrashReceipt &) const = default;

    /// @brief Records the arrival of the report @p number.
    void add(std::uint64_t number);
    /// @brief Whether the report @p number has arrived.
    bool contains(std::uint64_t number) const;
};

} // namespace celeryroute
