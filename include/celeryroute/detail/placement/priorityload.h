#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Amounts of load by priority. Engines admit the more urgent calls first.
class PriorityLoad
{
public:
    /// @brief Adds @p amount, which may be negative; a sum does not fall below 0.
    void add(std::uint32_t priority, double amount);
    /// @brief Multiplies all amounts with @p factor.
    void scale(double factor);

    /// @brief Sum of the amounts that are at least as urgent as @p priority.
    double upTo(std::uint32_t priority) const;
    double total() const;

    bool operator==(const PriorityLoad &) const = default;

private:
    static constexpr std::size_t PriorityLevels = 10;

    std::array<double, PriorityLevels> m_amounts{};
};

} // namespace celeryroute
