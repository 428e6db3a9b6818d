#pragma once

namespace celeryroute {

/// Part of a customer's budget: fractions of its rate and burst, and the tokens that belong to them.
struct BudgetSlice {
    double rateFraction = 0.0; ///< Fraction of the customer's rate.
    double burstFraction = 0.0; ///< Fraction of the customer's burst.
    double tokens = 0.0; ///< At most burstFraction times the burst.
    bool operator==(const BudgetSlice &) const = default;
};

} // namespace celeryroute
