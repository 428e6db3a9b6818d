#pragma once

#include <celeryroute/detail/budget/budgetlimits.h>
#include <celeryroute/time.h>

#include <algorithm>
#include <cstdint>
#include <map>

namespace celeryroute::simulation {

/// Checks that the admitted tokens stay within burst + rate * T in every window of length T.
class BudgetMeter
{
public:
    /// @brief Records or corrects the tokens used by the request @p id, admitted at @p admitted.
    void record(std::uint64_t id, TimePoint admitted, double tokens)
    {
        m_used[{admitted, id}] = tokens;
    }

    /// @brief Largest excess over @p limits in any window, in tokens. 0 if no window exceeds them.
    ///
    /// A stream stays within the limits in all windows exactly if a token bucket that starts full never
    /// becomes negative.
    double overshoot(BudgetLimits limits) const
    {
        double level = limits.burstTokens;
        double worst = 0.0;
        TimePoint last{};
        for (const auto &[key, tokens] : m_used) {
            level += toSeconds(key.first - last) * limits.tokensPerSecond;
            level = std::min(level, limits.burstTokens) - tokens;
            last = key.first;
            worst = std::max(worst, -level);
        }
        return worst < Tolerance ? 0.0 : worst;
    }

    double total() const
    {
        double sum = 0.0;
        for (const auto &[key, tokens] : m_used) {
            sum += tokens;
        }
        return sum;
    }

private:
    static constexpr double Tolerance = 1e-6;

    std::map<std::pair<TimePoint, std::uint64_t>, double> m_used;
};

} // namespace celeryroute::simulation
