#pragma once

#include <cstdint>
#include <deque>

namespace celeryroute {

/// Records the free capacity of a bucket after each step and returns the minimum since an earlier step.
///
/// Stores only the suffix minima. Their number is at most the number of steps since dropBefore().
class HeadroomHistory
{
public:
    /// @brief Records the free capacity after a step. Returns the number of the step.
    std::uint64_t record(double headroom);

    /// @brief Minimum free capacity at or after step @p since, or 0 if that step was dropped.
    double minimumSince(std::uint64_t since) const;

    /// @brief Reduces the free capacity of all steps at or after @p since by @p tokens.
    void reduce(std::uint64_t since, double tokens);

    /// @brief Drops all steps before @p step.
    void dropBefore(std::uint64_t step);

    void clear();

private:
    struct Minimum {
        std::uint64_t step;
        double headroom;
    };

    std::uint64_t m_lastStep = 0;
    std::uint64_t m_firstKept = 1;
    std::deque<Minimum> m_minima; ///< Ordered by step, which also orders them by headroom.
};

} // namespace celeryroute
