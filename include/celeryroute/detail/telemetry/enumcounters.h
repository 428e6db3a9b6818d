#pragma once

#include <celeryroute/detail/telemetry/expositiontext.h>
#include <celeryroute/detail/telemetry/metriclabels.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// @brief Counters of one metric family, one for each value of a label.
template <typename Label>
class EnumCounters
{
public:
    void add(Label label, std::uint64_t amount = 1)
    {
        m_counts[static_cast<std::size_t>(label)] += amount;
    }
    /// @brief Appends every counter, including those at 0.
    void expose(ExpositionText &text, std::string_view labelName) const
    {
        for (std::size_t i = 0; i < Values.size(); ++i) {
            text.appendSample({{labelName, Values[i]}}, m_counts[i]);
        }
    }

private:
    static constexpr auto Values = labelValues(Label{});
    std::array<std::uint64_t, Values.size()> m_counts{};
};

/// @brief Counters of one metric family, one for each pair of values of two labels.
template <typename First, typename Second>
class EnumPairCounters
{
public:
    void add(First first, Second second, std::uint64_t amount = 1)
    {
        m_counts[static_cast<std::size_t>(first)][static_cast<std::size_t>(second)] += amount;
    }
    /// @brief Appends every counter, including those at 0.
    void expose(ExpositionText &text, std::string_view firstName, std::string_view secondName) const
    {
        for (std::size_t i = 0; i < FirstValues.size(); ++i) {
            for (std::size_t j = 0; j < SecondValues.size(); ++j) {
                text.appendSample({{firstName, FirstValues[i]}, {secondName, SecondValues[j]}}, m_counts[i][j]);
            }
        }
    }

private:
    static constexpr auto FirstValues = labelValues(First{});
    static constexpr auto SecondValues = labelValues(Second{});
    std::array<std::array<std::uint64_t, SecondValues.size()>, FirstValues.size()> m_counts{};
};

} // namespace celeryroute
