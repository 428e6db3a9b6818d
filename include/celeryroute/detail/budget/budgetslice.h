#pragma once

namespace celeryroute {

/// Part of a customer's budget: a share of its rate and burst together with tokens inside it.
struct BudgetSlice {
    double rateFraction = 0.0; ///< Of the customer's rate.
    double burstFraction = 0.0; ///< Of the customer's burst.
    double tokens = 0.0; ///< At most burstFraction of the burst.
    bool operator==(const BudgetSlice &) const = default;
};

} // namespace celeryroute
