#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Amounts of load by priority. Engines admit the more urgent calls first.
class UrgencyLoad
{
public:
    /// @brief Adds @p amount, which may be negative; a sum does not fall below 0.
    void add(std::uint32_t priority, double amount);
    /// @brief Multiplies all amounts with @p factor.
    void fade(double factor);

    /// @brief Sum of the amounts that are at least as urgent as @p priority.
    double upTo(std::uint32_t priority) const;
    double total() const;

    bool operator==(const UrgencyLoad &) const = default;

private:
    static constexpr std::size_t Ranks = 10;

    std::array<double, Ranks> m_amounts{};
};

} // namespace celeryroute
