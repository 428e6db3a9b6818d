#pragma once

#include <cstdint>
#include <deque>

namespace celeryroute {

/// The least free room that a bucket had since some earlier step.
///
/// Keeps the suffix minima only, so its length is small and bounded by the steps since forget().
class HeadroomHistory
{
public:
    /// @brief Notes the free room after a step; returns the number of the step.
    std::uint64_t note(double headroom);

    /// @brief The least free room noted at or after step @p since; 0 when that is forgotten.
    double least(std::uint64_t since) const;

    /// @brief Lowers the free room of all steps at or after @p since by @p tokens.
    void lower(std::uint64_t since, double tokens);

    /// @brief Drops all steps before @p step.
    void forget(std::uint64_t step);

    void forgetAll();

private:
    struct Minimum {
        std::uint64_t step;
        double headroom;
    };

    std::uint64_t m_lastStep = 0;
    std::uint64_t m_firstKept = 1;
    std::deque<Minimum> m_minima; ///< Steps and headroom both ascend.
};

} // namespace celeryroute
