#pragma once

namespace celeryroute {

/// A customer's budget over all hosts together.
struct BudgetLimits {
    double tokensPerSecond = 0.0;
    double burstTokens = 0.0;
    bool operator==(const BudgetLimits &) const = default;
};

} // namespace celeryroute
