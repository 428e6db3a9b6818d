#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Amounts by priority; engines admit the more urgent first.
class UrgencyLoad
{
public:
    void add(std::uint32_t priority, double amount);
    /// @brief Multiplies all amounts with @p factor.
    void fade(double factor);

    /// @brief Sum of what is as urgent as @p priority or more.
    double upTo(std::uint32_t priority) const;
    double total() const;

    bool operator==(const UrgencyLoad &) const = default;

private:
    static constexpr std::size_t Ranks = 10;

    std::array<double, Ranks> m_amounts{};
};

} // namespace celeryroute
